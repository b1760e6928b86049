//! Writes log lines from a thread of their own, so that a reader that is slow or
//! gone never holds packets up.

use std::{
    io::{self, Write},
    sync::mpsc::{self, SyncSender, TrySendError},
    thread,
};

use prometheus_client::metrics::counter::Counter;

/// Lines that wait for the reader before new ones are dropped.
pub const QUEUE_LEN: usize = 1_024;

/// Takes whole lines and never blocks.
#[derive(Debug)]
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    lost: Counter,
}

impl LogWriter {
    /// A sink before a writer; `lost` counts the lines that did not reach it.
    pub fn new(mut to: impl Write + Send + 'static, lost: Counter) -> io::Result<Self> {
        let (lines, waiting) = mpsc::sync_channel::<Vec<u8>>(QUEUE_LEN);
        let failed = lost.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                for line in waiting {
                    if to.write_all(&line).and_then(|()| to.flush()).is_err() {
                        failed.inc();
                    }
                }
            })?;
        Ok(Self { lines, lost })
    }
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(buf.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.lost.inc();
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
