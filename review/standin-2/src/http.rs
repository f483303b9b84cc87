//! Reads the head and the body of HTTP/1.1 messages.

use std::io::BufRead;

/// The head of a message.
pub struct Head {
    /// The request line or the status line.
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if the status line has none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn content_length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. Returns `None` if the connection ends first.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let mut lines = lines.into_iter();
    let first_line = lines.next()?;
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    });
    Some(Head {
        first_line,
        headers: headers.collect(),
    })
}

/// Reads a body with a length. Returns `None` if the connection ends first.
pub fn read_body(reader: &mut impl BufRead, length: usize) -> Option<Vec<u8>> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}
