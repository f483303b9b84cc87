//! Rejects texts nested so deeply that a recursive parser could overflow its stack.
//!
//! The schema parsers recurse without a limit, and a stack overflow aborts the process. So the nesting
//! depth of brackets is checked before parsing. Where this check and a parser could disagree, the
//! check overestimates the depth: a closing bracket that does not match is ignored. A nested block
//! comment, which is an error in Protocol Buffers, is rejected here.

/// Why a text is rejected before parsing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NestingError {
    /// Brackets are nested too deeply; contains the byte offset of the first bracket past the limit.
    TooDeep(usize),
    /// A block comment starts within another one; contains the byte offset of the inner one.
    NestedComment(usize),
}

/// Checks that no bracket in a Protocol Buffers schema is nested more than `limit` deep.
pub(crate) fn check_schema_nesting(text: &str, limit: usize) -> Result<(), NestingError> {
    let mut scanner = Scanner::new(text, limit);
    while let Some(byte) = scanner.peek() {
        match byte {
            b'"' | b'\'' => scanner.skip_string(byte),
            b'#' => scanner.skip_line(),
            b'/' if scanner.starts_with(b"//") => scanner.skip_line(),
            b'/' if scanner.starts_with(b"/*") => scanner.skip_block_comment()?,
            _ => scanner.scan_bracket(byte)?,
        }
    }
    Ok(())
}

/// Checks that no bracket in a JSON text is nested more than `limit` deep.
pub(crate) fn check_json_nesting(text: &[u8], limit: usize) -> Result<(), NestingError> {
    let mut scanner = Scanner::new(text, limit);
    while let Some(byte) = scanner.peek() {
        match byte {
            b'"' => scanner.skip_string(byte),
            b'<' | b'>' | b'(' | b')' => scanner.offset += 1,
            _ => scanner.scan_bracket(byte)?,
        }
    }
    Ok(())
}

/// Tracks the nesting of brackets while scanning a text.
struct Scanner<'a> {
    bytes: &'a [u8],
    offset: usize,
    /// The closing bracket that each open bracket expects.
    expected_closing: Vec<u8>,
    limit: usize,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a (impl AsRef<[u8]> + ?Sized), limit: usize) -> Self {
        Self {
            bytes: text.as_ref(),
            offset: 0,
            expected_closing: Vec::new(),
            limit,
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.offset).copied()
    }

    fn starts_with(&self, prefix: &[u8]) -> bool {
        self.bytes[self.offset..].starts_with(prefix)
    }

    /// Skips a string literal; as in the parser's lexer, a line break ends an unterminated one.
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

    /// Consumes a byte and updates the nesting if it is a bracket.
    fn scan_bracket(&mut self, byte: u8) -> Result<(), NestingError> {
        let closing = match byte {
            b'{' => Some(b'}'),
            b'[' => Some(b']'),
            b'(' => Some(b')'),
            b'<' => Some(b'>'),
            _ => None,
        };
        if let Some(closing) = closing {
            if self.expected_closing.len() == self.limit {
                return Err(NestingError::TooDeep(self.offset));
            }
            self.expected_closing.push(closing);
        } else if self.expected_closing.last() == Some(&byte) {
            self.expected_closing.pop();
        }
        self.offset += 1;
        Ok(())
    }
}
