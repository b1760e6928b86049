//! What was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:>6} ms  {text}").expect("the record can be written");
    }
}
