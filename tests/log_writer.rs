//! Log writer with a slow or broken output.

use std::{
    io::{self, Write},
    sync::mpsc::{self, Receiver, Sender},
    time::Duration,
};

use cassiacross::log_writer::{LogWriter, QUEUE_LEN};
use prometheus_client::metrics::counter::Counter;

const LIMIT: Duration = Duration::from_secs(30);

/// Log output that blocks on each line until the test permits it.
struct GatedOutput {
    permits: Receiver<io::Result<()>>,
    written: Sender<Vec<u8>>,
}

impl Write for GatedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.permits.recv().map_err(io::Error::other)??;
        self.written.send(buf.to_vec()).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Fixture {
    writer: LogWriter,
    lost: Counter,
    permits: Sender<io::Result<()>>,
    written: Receiver<Vec<u8>>,
}

impl Fixture {
    fn new() -> Self {
        let (permits, output_permits) = mpsc::channel();
        let (output_written, written) = mpsc::channel();
        let output = GatedOutput {
            permits: output_permits,
            written: output_written,
        };
        let lost = Counter::default();
        let writer = LogWriter::new(output, lost.clone()).expect("thread starts");
        Self {
            writer,
            lost,
            permits,
            written,
        }
    }

    fn write(&mut self, count: usize) {
        for line in 0..count {
            let line = format!("{line}\n");
            self.writer
                .write_all(line.as_bytes())
                .expect("writes never fail");
        }
    }

    fn take(&self, count: usize) -> Vec<String> {
        let lines = (0..count).map(|_| {
            self.permits.send(Ok(())).expect("writer thread runs");
            let line = self
                .written
                .recv_timeout(LIMIT)
                .expect("line within the time limit");
            String::from_utf8(line).expect("line is UTF-8")
        });
        lines.collect()
    }
}

#[test]
fn lines_arrive_whole_and_in_order() {
    let mut fixture = Fixture::new();
    fixture.write(3);
    assert_eq!(fixture.take(3), ["0\n", "1\n", "2\n"]);
    assert_eq!(fixture.lost.get(), 0);
}

#[test]
fn slow_output_loses_lines_without_blocking_the_writer() {
    let mut fixture = Fixture::new();
    let excess = 10;
    fixture.write(QUEUE_LEN + 1 + excess);
    let lost = usize::try_from(fixture.lost.get()).expect("count fits usize");
    assert!((excess..=excess + 1).contains(&lost), "{lost}");
    assert_eq!(fixture.take(2), ["0\n", "1\n"]);
}

#[test]
fn lines_that_cannot_be_written_are_counted() {
    let mut fixture = Fixture::new();
    fixture.write(2);
    let broken = Err(io::ErrorKind::BrokenPipe.into());
    fixture.permits.send(broken).expect("writer thread runs");
    assert_eq!(fixture.take(1), ["1\n"]);
    assert_eq!(fixture.lost.get(), 1);
}
