//! Writes log lines from a thread of their own, so that a reader that is slow or
//! gone never holds packets up.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, SyncSender, TrySendError},
    },
    thread,
};

/// Lines that wait for the reader before new ones are dropped.
const WAITING: usize = 1_024;

/// Takes whole lines and never blocks.
#[derive(Debug)]
pub struct Sink {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// A sink before a writer; the count of dropped lines is shared with the caller.
    pub fn new(mut to: impl Write + Send + 'static) -> io::Result<(Self, Arc<AtomicU64>)> {
        let (lines, waiting) = mpsc::sync_channel::<Vec<u8>>(WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let failed = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                for line in waiting {
                    if to.write_all(&line).and_then(|()| to.flush()).is_err() {
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })?;
        let sink = Self {
            lines,
            dropped: Arc::clone(&dropped),
        };
        Ok((sink, dropped))
    }
}

impl Write for Sink {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(buf.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
