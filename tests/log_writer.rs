//! Log lines on their way to a reader that may be slow or gone.

use std::{
    io::{self, Write},
    sync::mpsc::{self, Receiver, Sender},
    time::Duration,
};

use cassiacross::log_writer::{LogWriter, QUEUE_LEN};
use prometheus_client::metrics::counter::Counter;

const LIMIT: Duration = Duration::from_secs(30);

/// Takes each line once the test lets it.
struct Reader {
    lets: Receiver<io::Result<()>>,
    taken: Sender<Vec<u8>>,
}

impl Write for Reader {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.lets.recv().map_err(io::Error::other)??;
        self.taken.send(buf.to_vec()).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Fixture {
    sink: LogWriter,
    lost: Counter,
    lets: Sender<io::Result<()>>,
    taken: Receiver<Vec<u8>>,
}

impl Fixture {
    fn new() -> Self {
        let (lets, reader_lets) = mpsc::channel();
        let (reader_taken, taken) = mpsc::channel();
        let reader = Reader {
            lets: reader_lets,
            taken: reader_taken,
        };
        let lost = Counter::default();
        let sink = LogWriter::new(reader, lost.clone()).expect("thread starts");
        Self {
            sink,
            lost,
            lets,
            taken,
        }
    }

    fn write(&mut self, count: usize) {
        for line in 0..count {
            let line = format!("{line}\n");
            self.sink.write_all(line.as_bytes()).expect("never fails");
        }
    }

    fn take(&self, count: usize) -> Vec<String> {
        let lines = (0..count).map(|_| {
            self.lets.send(Ok(())).expect("reader lives");
            let line = self.taken.recv_timeout(LIMIT).expect("a line");
            String::from_utf8(line).expect("text")
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
fn slow_reader_loses_lines_and_holds_nobody_up() {
    let mut fixture = Fixture::new();
    let over = 10;
    fixture.write(QUEUE_LEN + 1 + over);
    let lost = usize::try_from(fixture.lost.get()).expect("a small number");
    assert!((over..=over + 1).contains(&lost), "{lost}");
    assert_eq!(fixture.take(2), ["0\n", "1\n"]);
}

#[test]
fn lines_that_cannot_be_written_are_counted() {
    let mut fixture = Fixture::new();
    fixture.write(2);
    let broken = Err(io::ErrorKind::BrokenPipe.into());
    fixture.lets.send(broken).expect("reader lives");
    assert_eq!(fixture.take(1), ["1\n"]);
    assert_eq!(fixture.lost.get(), 1);
}
