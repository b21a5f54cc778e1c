//! Reads the tokens of one line from left to right and reports errors with their position.

use std::ops::Range;
use std::time::Duration;

use miette::{Diagnostic, NamedSource, SourceSpan};

use crate::lexer::{LineToken, LocatedToken, split_tokens};
use crate::script::{CompareKind, NodeKind, NodeName};

/// A syntax or consistency error in a line of a scenario file.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("line {line}: {message}")]
pub struct ScriptError {
    /// Description of the error.
    pub message: String,
    /// Number of the line, from 1.
    pub line: usize,
    /// Words that are allowed at the position, where there is a fixed set.
    #[help]
    pub help: Option<String>,
    /// Name and text of the scenario file.
    #[source_code]
    pub source_code: NamedSource<String>,
    /// Position of the error in the file, in bytes.
    #[label("here")]
    pub span: SourceSpan,
}

/// An error in a line; its range is relative to the start of the line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LineError {
    pub(crate) message: String,
    pub(crate) help: Option<String>,
    pub(crate) range: Range<usize>,
}

pub(crate) type LineResult<T> = Result<T, LineError>;

/// Cursor over the tokens of one line.
#[derive(Debug)]
pub(crate) struct LineReader {
    tokens: Vec<LocatedToken>,
    next: usize,
    length: usize,
}

impl LineReader {
    pub(crate) fn new(line: &str) -> Self {
        Self { tokens: split_tokens(line), next: 0, length: line.trim_end().len() }
    }

    /// Returns whether all tokens were read.
    pub(crate) fn is_at_end(&self) -> bool {
        self.next >= self.tokens.len()
    }

    /// Creates an error at the next token, or at the end of the line if no token is left.
    pub(crate) fn error_at_next(&self, message: impl Into<String>) -> LineError {
        LineError { message: message.into(), help: None, range: self.next_range() }
    }

    /// Creates an error at the token that was read last.
    pub(crate) fn error_at_last(&self, message: impl Into<String>) -> LineError {
        let token = self.next.checked_sub(1).and_then(|last| self.tokens.get(last));
        let range = token.map_or(self.next_range(), |token| token.range.clone());
        LineError { message: message.into(), help: None, range }
    }

    /// Byte range of the token that was read last.
    pub(crate) fn last_range(&self) -> Range<usize> {
        self.error_at_last("").range
    }

    /// Reads one of `words`; error messages call them `what`.
    pub(crate) fn read_word_of(
        &mut self,
        what: &str,
        words: &[&'static str],
    ) -> LineResult<&'static str> {
        let found = match self.peek_token() {
            Some(LineToken::Word(word)) => words.iter().find(|known| **known == word.as_str()),
            _ => None,
        };
        match found {
            Some(word) => {
                self.next += 1;
                Ok(word)
            }
            None => {
                let mut error =
                    self.error_at_next(format!("expected {what}, found {}", self.describe_next()));
                error.help = Some(format!("one of: {}", words.join(", ")));
                Err(error)
            }
        }
    }

    /// Reads exactly this word.
    pub(crate) fn read_word(&mut self, word: &'static str) -> LineResult<()> {
        self.read_word_of(&format!("`{word}`"), &[word]).map(|_| ())
    }

    /// Reads this word if it is next, and returns whether it was.
    pub(crate) fn skip_word(&mut self, word: &str) -> bool {
        let found = matches!(self.peek_token(), Some(LineToken::Word(next)) if next == word);
        self.next += usize::from(found);
        found
    }

    /// Reads any word.
    pub(crate) fn read_any_word(&mut self, what: &str) -> LineResult<String> {
        self.take_token(what, |token| match token {
            LineToken::Word(word) => Some(word.clone()),
            _ => None,
        })
    }

    pub(crate) fn read_number(&mut self, what: &str) -> LineResult<u64> {
        self.take_token(&format!("{what}, a number"), |token| match token {
            LineToken::Number(number) => Some(*number),
            _ => None,
        })
    }

    /// Reads a number within `range`.
    pub(crate) fn read_count(&mut self, what: &str, range: Range<u32>) -> LineResult<u32> {
        let number = self.read_number(what)?;
        let count = u32::try_from(number).ok().filter(|count| range.contains(count));
        let (min, max) = (range.start, range.end - 1);
        count.ok_or_else(|| self.error_at_last(format!("{what} must be from {min} to {max}")))
    }

    pub(crate) fn read_time(&mut self, what: &str) -> LineResult<Duration> {
        self.take_token(&format!("{what}, a time such as `250ms`, `3s` or `2m`"), |token| {
            match token {
                LineToken::Time(time) => Some(*time),
                _ => None,
            }
        })
    }

    pub(crate) fn read_percent(&mut self, what: &str) -> LineResult<u32> {
        self.take_token(&format!("{what}, a share such as `10%`"), |token| match token {
            LineToken::Percent(percent) => Some(*percent),
            _ => None,
        })
    }

    /// Reads a percentage of at most 100%.
    pub(crate) fn read_share(&mut self, what: &str) -> LineResult<u32> {
        let percent = self.read_percent(what)?;
        if percent > 100 {
            return Err(self.error_at_last(format!("{what} must be at most 100%")));
        }
        Ok(percent)
    }

    pub(crate) fn read_rate(&mut self, what: &str) -> LineResult<u32> {
        let rate = self.take_token(
            &format!("{what}, a rate such as `5/s` or `30/m`"),
            |token| match token {
                LineToken::Rate(rate) => Some(*rate),
                _ => None,
            },
        )?;
        if rate == 0 {
            return Err(self.error_at_last(format!("{what} must not be zero")));
        }
        Ok(rate)
    }

    pub(crate) fn read_comparison(&mut self) -> LineResult<CompareKind> {
        self.take_token("a comparison: `=`, `<=` or `>=`", |token| match token {
            LineToken::Compare(compare) => Some(*compare),
            _ => None,
        })
    }

    /// Reads the name of a node whose number is at most `max`.
    pub(crate) fn read_node(&mut self, kind: NodeKind, max: u32) -> LineResult<NodeName> {
        let (what, letter) = match kind {
            NodeKind::Router => ("a router", 'r'),
            NodeKind::Engine => ("an engine", 'e'),
            NodeKind::Service => ("a service", 's'),
        };
        let expected = format!("{what}, such as `{letter}1`");
        let number = self.take_token(&expected, |token| match token {
            LineToken::Word(word) => word.strip_prefix(letter)?.parse::<u32>().ok(),
            _ => None,
        })?;
        self.check_number(number, max, what).map(|number| NodeName { kind, number })
    }

    /// Reads the name of a team whose number is at most `max`.
    pub(crate) fn read_team(&mut self, max: u32) -> LineResult<u32> {
        let number = self.take_token("a team, such as `t1`", |token| match token {
            LineToken::Word(word) => word.strip_prefix('t')?.parse::<u32>().ok(),
            _ => None,
        })?;
        self.check_number(number, max, "a team")
    }

    /// Returns an error if a token is left.
    pub(crate) fn expect_end(&self) -> LineResult<()> {
        if self.is_at_end() {
            return Ok(());
        }
        Err(self
            .error_at_next(format!("expected the end of the line, found {}", self.describe_next())))
    }

    fn check_number(&self, number: u32, max: u32, what: &str) -> LineResult<u32> {
        if (1..=max).contains(&number) {
            return Ok(number);
        }
        Err(self.error_at_last(format!("no such {}; number set up: {max}", strip_article(what))))
    }

    fn take_token<T>(
        &mut self,
        what: &str,
        accept: impl Fn(&LineToken) -> Option<T>,
    ) -> LineResult<T> {
        match self.peek_token().and_then(accept) {
            Some(value) => {
                self.next += 1;
                Ok(value)
            }
            None => {
                Err(self.error_at_next(format!("expected {what}, found {}", self.describe_next())))
            }
        }
    }

    fn peek_token(&self) -> Option<&LineToken> {
        self.tokens.get(self.next).map(|token| &token.token)
    }

    fn next_range(&self) -> Range<usize> {
        let end = self.length..self.length;
        self.tokens.get(self.next).map_or(end, |token| token.range.clone())
    }

    fn describe_next(&self) -> String {
        match self.peek_token() {
            None => "the end of the line".to_owned(),
            Some(LineToken::Word(word)) => format!("`{word}`"),
            Some(LineToken::Number(number)) => format!("the number {number}"),
            Some(LineToken::Time(time)) => format!("the time {time:?}"),
            Some(LineToken::Percent(percent)) => format!("the share {percent}%"),
            Some(LineToken::Rate(rate)) => format!("the rate {rate}/m"),
            Some(LineToken::Compare(compare)) => format!("`{}`", compare.as_sign()),
            Some(LineToken::Other(symbol)) => format!("`{symbol}`"),
        }
    }
}

fn strip_article(what: &str) -> &str {
    what.split_once(' ').map_or(what, |(_, noun)| noun)
}
