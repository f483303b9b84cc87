//! The mark that stand-in back ends write into every item of a reply.
//!
//! A mark is appended to a text field as `~s<shard>g<generation>.<map>q<question>i<item>`, with
//! `r<run>` at its end for methods that may not be repeated. It says from which shard, snapshot
//! and request an item came, so that a checker can tell a mixed or foreign answer.

use std::{fmt, str::FromStr};

use sablehaven_types::{ShardId, SnapshotId};
use serde::{Deserialize, Serialize};

/// Separates a mark from the text before it.
const SEPARATOR: char = '~';

/// Where an item of a reply came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    /// The shard.
    pub shard: ShardId,
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Fingerprint of the request that the item answers.
    pub question: u64,
    /// The item within the shard's reply, counted from 0.
    pub item: u32,
    /// The number of the execution, for methods that may not be repeated.
    pub run: Option<u64>,
}

/// Errors of reading a mark.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum MarkError {
    /// read a mark in '{text}': part '{part}' is missing or not a number
    Malformed {
        /// The text.
        text: String,
        /// The letter of the part.
        part: char,
    },
}

impl Mark {
    /// The mark at the end of a text; `None` if the text carries none.
    pub fn find(text: &str) -> Option<Result<Self, MarkError>> {
        let (_, mark) = text.rsplit_once(SEPARATOR)?;
        Some(mark.parse())
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            shard,
            snapshot,
            question,
            item,
            run,
        } = self;
        write!(
            formatter,
            "{SEPARATOR}s{shard}g{snapshot}q{question:016x}i{item}"
        )?;
        match run {
            Some(run) => write!(formatter, "r{run}"),
            None => Ok(()),
        }
    }
}

impl FromStr for Mark {
    type Err = MarkError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = |part| MarkError::Malformed {
            text: text.to_owned(),
            part,
        };
        let rest = text.strip_prefix('s').ok_or_else(|| malformed('s'))?;
        let (shard, rest) = rest.split_once('g').ok_or_else(|| malformed('g'))?;
        let (snapshot, rest) = rest.split_once('q').ok_or_else(|| malformed('q'))?;
        let (question, rest) = rest.split_once('i').ok_or_else(|| malformed('i'))?;
        let (item, run) = match rest.split_once('r') {
            Some((item, run)) => (item, Some(run)),
            None => (rest, None),
        };
        Ok(Self {
            shard: ShardId(shard.parse().map_err(|_| malformed('s'))?),
            snapshot: snapshot.parse().map_err(|_| malformed('g'))?,
            question: u64::from_str_radix(question, 16).map_err(|_| malformed('q'))?,
            item: item.parse().map_err(|_| malformed('i'))?,
            run: run
                .map(str::parse)
                .transpose()
                .map_err(|_| malformed('r'))?,
        })
    }
}
