//! Non-blocking log writer: a separate thread writes the lines, so that slow or broken
//! log output never blocks packet processing.

use std::{
    io::{self, Write},
    sync::mpsc::{self, SyncSender, TrySendError},
    thread,
};

use prometheus_client::metrics::counter::Counter;

/// Capacity of the line queue. Lines that do not fit are dropped.
pub const QUEUE_LEN: usize = 1_024;

/// Writer that queues whole lines and never blocks.
#[derive(Debug)]
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    lost: Counter,
}

impl LogWriter {
    /// Creates a log writer and starts the thread that writes its lines to `to`. `lost`
    /// counts the lines that were not written.
    pub fn new(mut to: impl Write + Send + 'static, lost: Counter) -> io::Result<Self> {
        let (lines, queue) = mpsc::sync_channel::<Vec<u8>>(QUEUE_LEN);
        let failed = lost.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                for line in queue {
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
