//! The parts of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead};

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut head = Self::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return match head.start.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            let line = line.trim_end();
            if line.is_empty() {
                if head.start.is_empty() {
                    continue;
                }
                return Ok(Some(head));
            }
            if head.start.is_empty() {
                head.start = line.to_owned();
            } else if let Some((name, value)) = line.split_once(':') {
                let header = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
                head.headers.push(header);
            }
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|l| l.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|t| t.contains("chunked"))
    }
}

/// Reads a body that has a length or is chunked. Calls `on_part` for each part.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Head,
    mut on_part: impl FnMut(&[u8]),
) -> io::Result<()> {
    if !head.is_chunked() {
        let mut body = vec![0; head.length()];
        reader.read_exact(&mut body)?;
        on_part(&body);
        return Ok(());
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut part = vec![0; size + 2];
        reader.read_exact(&mut part)?;
        if size == 0 {
            return Ok(());
        }
        on_part(&part[..size]);
    }
}

/// Returns the value of a field of a query.
pub fn query_value(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let mut fields = query.split('&').filter_map(|f| f.split_once('='));
    fields.find(|(n, _)| *n == name).map(|(_, v)| decode(v))
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = (*first == b'%' && tail.len() >= 2).then(|| &tail[..2]);
        let code = code.and_then(|c| std::str::from_utf8(c).ok());
        match code.and_then(|c| u8::from_str_radix(c, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= chunk.len() { digit.into() } else { '=' });
        }
    }
    text
}
