//! Tests of outputs that do not take the log.

use std::io::{self, Write};
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::Duration;

use sesamebarrow_node::logs::queue::{self, MAX_LINE_BYTES, Queue};

/// Number of lines that is more than the queue and a batch hold.
const LINES: usize = 10_000;

/// Length of a line in bytes.
const LINE_BYTES: usize = 100;

/// An output that writes only while it may.
struct Gate {
    may_write: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for Gate {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Blocks until the test lets it write or ends.
        let _ = self.may_write.recv();
        let _ = self.written.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Broken;

impl Write for Broken {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_beyond_the_queue_of_a_blocked_output_are_dropped_and_reported() -> anyhow::Result<()> {
    let (may_write, gate) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    let (reported, reports) = mpsc::channel();
    let gate = Gate {
        may_write: gate,
        written,
    };
    let queue = Queue::start(gate, move |lost| {
        let _ = reported.send(lost);
    })?;
    for _ in 0..LINES {
        queue.push(vec![b'x'; LINE_BYTES]);
    }
    queue.finish(Duration::from_millis(50));
    assert!(lines.try_recv().is_err(), "the output is blocked");
    drop(may_write);
    let lost = reports.recv()?;
    queue.finish(Duration::from_secs(30));
    let written: usize = lines.try_iter().map(|batch| batch.len()).sum();
    assert_eq!(written / LINE_BYTES + usize::try_from(lost)?, LINES);
    assert!(lost > 0);
    Ok(())
}

#[test]
fn lines_of_a_failing_output_do_not_hold_up_the_end() -> anyhow::Result<()> {
    let queue = Queue::start(Broken, |_| {})?;
    for _ in 0..10 {
        queue.push(b"line\n".to_vec());
    }
    queue.finish(Duration::from_secs(30));
    Ok(())
}

#[test]
fn lines_are_written_in_order() -> anyhow::Result<()> {
    let (may_write, gate) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    drop(may_write);
    let gate = Gate {
        may_write: gate,
        written,
    };
    let queue = Queue::start(gate, |_| {})?;
    for number in 0..100 {
        queue.push(format!("{number}\n").into_bytes());
    }
    queue.finish(Duration::from_secs(30));
    let text: Vec<u8> = lines.try_iter().flatten().collect();
    let expected: String = (0..100).map(|n| format!("{n}\n")).collect();
    assert_eq!(String::from_utf8(text)?, expected);
    Ok(())
}

#[test]
fn line_that_is_too_long_is_not_cut_inside_a_character() -> anyhow::Result<()> {
    for first in ["", "a", "aa", "aaa"] {
        for character in ["a", "é", "語", "🦀"] {
            let text = format!("{first}{}", character.repeat(MAX_LINE_BYTES));
            let mut line = text.clone().into_bytes();
            queue::truncate(&mut line);
            let cut = std::str::from_utf8(&line)?;
            assert!(text.starts_with(cut));
            assert!(cut.len() <= MAX_LINE_BYTES);
            assert!(
                cut.len() + character.len() > MAX_LINE_BYTES,
                "too much is cut off"
            );
        }
    }
    let mut short = "ü".to_owned().into_bytes();
    queue::truncate(&mut short);
    assert_eq!(short, "ü".as_bytes());
    Ok(())
}
