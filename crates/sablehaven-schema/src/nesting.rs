//! Refuses texts nested so deeply that a recursive parser could overflow its stack.
//!
//! The parsers behind a schema are recursive without a limit, and a stack overflow ends the process.
//! So brackets are counted first. Where this count and a parser could disagree, the count errs on
//! the deeper side: a closing bracket that does not match is ignored, and a nested block comment
//! (an error in Protocol Buffers) is refused here.

/// Why a text is refused before it is parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NestingError {
    /// Brackets are nested too deeply; the byte offset of the first one too deep.
    TooDeep(usize),
    /// A block comment starts within another; the byte offset of the inner one.
    NestedComment(usize),
}

/// Checks that no bracket of a Protocol Buffers text is nested more than `limit` deep.
pub(crate) fn check_schema_nesting(text: &str, limit: usize) -> Result<(), NestingError> {
    let mut scanner = Scanner::new(text, limit);
    while let Some(byte) = scanner.peek() {
        match byte {
            b'"' | b'\'' => scanner.skip_string(byte),
            b'#' => scanner.skip_line(),
            b'/' if scanner.starts_with(b"//") => scanner.skip_line(),
            b'/' if scanner.starts_with(b"/*") => scanner.skip_block_comment()?,
            _ => scanner.bracket(byte)?,
        }
    }
    Ok(())
}

/// Checks that no bracket of a JSON text is nested more than `limit` deep.
pub(crate) fn check_json_nesting(text: &[u8], limit: usize) -> Result<(), NestingError> {
    let mut scanner = Scanner::new(text, limit);
    while let Some(byte) = scanner.peek() {
        match byte {
            b'"' => scanner.skip_string(byte),
            b'<' | b'>' | b'(' | b')' => scanner.offset += 1,
            _ => scanner.bracket(byte)?,
        }
    }
    Ok(())
}

struct Scanner<'a> {
    bytes: &'a [u8],
    offset: usize,
    open: Vec<u8>,
    limit: usize,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a (impl AsRef<[u8]> + ?Sized), limit: usize) -> Self {
        Self {
            bytes: text.as_ref(),
            offset: 0,
            open: Vec::new(),
            limit,
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.offset).copied()
    }

    fn starts_with(&self, prefix: &[u8]) -> bool {
        self.bytes[self.offset..].starts_with(prefix)
    }

    /// Skips a string; like the parser's lexer, a line break ends one that is not terminated.
    fn skip_string(&mut self, terminator: u8) {
        self.offset += 1;
        while let Some(byte) = self.peek() {
            self.offset += 1;
            if byte == terminator || byte == b'\n' {
                return;
            }
            if byte == b'\\' && self.peek().is_some_and(|next| next != b'\n') {
                self.offset += 1;
            }
        }
    }

    fn skip_line(&mut self) {
        while let Some(byte) = self.peek() {
            self.offset += 1;
            if byte == b'\n' {
                return;
            }
        }
    }

    fn skip_block_comment(&mut self) -> Result<(), NestingError> {
        self.offset += b"/*".len();
        while self.peek().is_some() {
            if self.starts_with(b"*/") {
                self.offset += b"*/".len();
                return Ok(());
            }
            if self.starts_with(b"/*") {
                return Err(NestingError::NestedComment(self.offset));
            }
            self.offset += 1;
        }
        Ok(())
    }

    fn bracket(&mut self, byte: u8) -> Result<(), NestingError> {
        let closing = match byte {
            b'{' => Some(b'}'),
            b'[' => Some(b']'),
            b'(' => Some(b')'),
            b'<' => Some(b'>'),
            _ => None,
        };
        if let Some(closing) = closing {
            if self.open.len() == self.limit {
                return Err(NestingError::TooDeep(self.offset));
            }
            self.open.push(closing);
        } else if self.open.last() == Some(&byte) {
            self.open.pop();
        }
        self.offset += 1;
        Ok(())
    }
}
