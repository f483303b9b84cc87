//! How a stand-in server answers.

use std::time::Duration;

/// How a stand-in server answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Whole and signed, after a time.
    Answer {
        /// The work.
        work: Duration,
        /// The body.
        body: Vec<u8>,
    },
    /// As [`Self::Answer`], in chunks.
    Chunked {
        /// The body.
        body: Vec<u8>,
    },
    /// Without a length; the body ends when the connection does.
    Unframed {
        /// The body.
        body: Vec<u8>,
    },
    /// Without a length; the connection is reset in the middle.
    UnframedReset,
    /// The body is cut off.
    CutOff,
    /// The connection is reset after the request was read.
    Reset,
    /// The connection is closed after the request was read.
    Close,
    /// Bytes that are no answer.
    Garbage,
    /// A second answer follows the first one.
    Surplus {
        /// The body of the first.
        body: Vec<u8>,
    },
    /// The answer names another request.
    OtherRequest,
    /// The body is encoded.
    Encoded,
    /// A success without a signature.
    Unsigned,
    /// 503, not executed.
    Shed,
    /// 503 without the word that it was not executed.
    Unavailable,
    /// 421: another server has this address.
    Misdirected,
    /// 500 with a signature.
    Fail,
    /// Nothing at all.
    Silent,
    /// Signed and with a body, under a status line of the test's choice.
    Status {
        /// Status code and reason.
        status: &'static str,
    },
    /// Whole and signed, with one more line in the head.
    HeaderLine {
        /// The line, without its end.
        line: String,
    },
    /// The first bytes of a whole answer; then the connection is closed.
    CutAfter {
        /// The number of bytes.
        length: usize,
    },
    /// Bytes that are not the answer to the request, as soon as it has arrived.
    Foreign {
        /// The bytes.
        bytes: Vec<u8>,
        /// Whether the request is run and answered after them.
        is_answered: bool,
    },
    /// Bytes that follow without end until the caller closes the connection.
    Endless(EndlessPart),
}

/// The part of an answer that does not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// A header's value.
    HeaderValue,
    /// Header after header.
    Headers,
    /// Interim responses, none of which is the answer.
    InterimResponses,
    /// A body without a length.
    UnframedBody,
    /// A body in chunks.
    ChunkedBody,
    /// The extension of a chunk's size.
    ChunkExtension,
    /// The trailers after a body in chunks.
    Trailers,
    /// What follows a whole answer.
    AfterAnswer,
}

impl Behaviour {
    /// Answers at once with a body.
    pub fn answer(body: impl Into<Vec<u8>>) -> Self {
        Self::Answer {
            work: Duration::ZERO,
            body: body.into(),
        }
    }

    /// Answers with a body after a time.
    pub fn after(work: Duration, body: impl Into<Vec<u8>>) -> Self {
        Self::Answer {
            work,
            body: body.into(),
        }
    }
}
