//! Reads the tokens of one line in turn, and says what is wrong where.

use std::ops::Range;
use std::time::Duration;

use miette::{Diagnostic, NamedSource, SourceSpan};

use crate::lexer::{LineToken, PlacedToken, read_tokens};
use crate::script::{CompareKind, NodeKind, NodeName};

/// A line of a scenario that cannot be understood.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("line {line}: {message}")]
pub struct ScriptError {
    /// What is wrong.
    pub message: String,
    /// Number of the line, from 1.
    pub line: usize,
    /// What may be written there.
    #[help]
    pub help: Option<String>,
    /// The file.
    #[source_code]
    pub source_code: NamedSource<String>,
    /// The place.
    #[label("here")]
    pub span: SourceSpan,
}

/// What is wrong at a place of a line, before the file is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LineFault {
    pub(crate) message: String,
    pub(crate) help: Option<String>,
    pub(crate) range: Range<usize>,
}

pub(crate) type LineResult<T> = Result<T, LineFault>;

/// Reads the tokens of one line in turn.
#[derive(Debug)]
pub(crate) struct LineReader {
    tokens: Vec<PlacedToken>,
    next: usize,
    length: usize,
}

impl LineReader {
    pub(crate) fn new(line: &str) -> Self {
        Self { tokens: read_tokens(line), next: 0, length: line.trim_end().len() }
    }

    /// Whether no token is left.
    pub(crate) fn is_done(&self) -> bool {
        self.next >= self.tokens.len()
    }

    /// A fault at the next token.
    pub(crate) fn fault(&self, message: impl Into<String>) -> LineFault {
        LineFault { message: message.into(), help: None, range: self.place() }
    }

    /// A fault at the token that was read last.
    pub(crate) fn fault_before(&self, message: impl Into<String>) -> LineFault {
        let place = self.next.checked_sub(1).and_then(|last| self.tokens.get(last));
        let range = place.map_or(self.place(), |token| token.range.clone());
        LineFault { message: message.into(), help: None, range }
    }

    /// Place of the token that was read last.
    pub(crate) fn last_range(&self) -> Range<usize> {
        self.fault_before("").range
    }

    /// Reads one of these words; `what` says what they are.
    pub(crate) fn word_of(
        &mut self,
        what: &str,
        words: &[&'static str],
    ) -> LineResult<&'static str> {
        let found = match self.peek() {
            Some(LineToken::Word(word)) => words.iter().find(|known| **known == word.as_str()),
            _ => None,
        };
        match found {
            Some(word) => {
                self.next += 1;
                Ok(word)
            }
            None => {
                let mut fault = self.fault(format!("expected {what}, found {}", self.describe()));
                fault.help = Some(format!("one of: {}", words.join(", ")));
                Err(fault)
            }
        }
    }

    /// Reads this word.
    pub(crate) fn word(&mut self, word: &'static str) -> LineResult<()> {
        self.word_of(&format!("`{word}`"), &[word]).map(|_| ())
    }

    /// Reads this word if it is next.
    pub(crate) fn skip_word(&mut self, word: &str) -> bool {
        let found = matches!(self.peek(), Some(LineToken::Word(next)) if next == word);
        self.next += usize::from(found);
        found
    }

    /// Reads any word.
    pub(crate) fn any_word(&mut self, what: &str) -> LineResult<String> {
        self.take(what, |token| match token {
            LineToken::Word(word) => Some(word.clone()),
            _ => None,
        })
    }

    pub(crate) fn number(&mut self, what: &str) -> LineResult<u64> {
        self.take(&format!("{what}, a number"), |token| match token {
            LineToken::Number(number) => Some(*number),
            _ => None,
        })
    }

    /// Reads a number within a range.
    pub(crate) fn count(&mut self, what: &str, range: Range<u32>) -> LineResult<u32> {
        let number = self.number(what)?;
        let count = u32::try_from(number).ok().filter(|count| range.contains(count));
        let (least, most) = (range.start, range.end - 1);
        count.ok_or_else(|| self.fault_before(format!("{what} must be from {least} to {most}")))
    }

    pub(crate) fn time(&mut self, what: &str) -> LineResult<Duration> {
        self.take(&format!("{what}, a time such as `250ms`, `3s` or `2m`"), |token| match token {
            LineToken::Time(time) => Some(*time),
            _ => None,
        })
    }

    pub(crate) fn percent(&mut self, what: &str) -> LineResult<u32> {
        self.take(&format!("{what}, a share such as `10%`"), |token| match token {
            LineToken::Percent(percent) => Some(*percent),
            _ => None,
        })
    }

    /// Reads a share of at most one whole.
    pub(crate) fn share(&mut self, what: &str) -> LineResult<u32> {
        let percent = self.percent(what)?;
        if percent > 100 {
            return Err(self.fault_before(format!("{what} must be at most 100%")));
        }
        Ok(percent)
    }

    pub(crate) fn rate(&mut self, what: &str) -> LineResult<u32> {
        let rate =
            self.take(&format!("{what}, a rate such as `5/s` or `30/m`"), |token| match token {
                LineToken::Rate(rate) => Some(*rate),
                _ => None,
            })?;
        if rate == 0 {
            return Err(self.fault_before(format!("{what} must not be zero")));
        }
        Ok(rate)
    }

    pub(crate) fn compare(&mut self) -> LineResult<CompareKind> {
        self.take("a comparison: `=`, `<=` or `>=`", |token| match token {
            LineToken::Compare(compare) => Some(*compare),
            _ => None,
        })
    }

    /// Reads the name of a router, engine or service, whose number is at most `most`.
    pub(crate) fn node(&mut self, kind: NodeKind, most: u32) -> LineResult<NodeName> {
        let (what, letter) = match kind {
            NodeKind::Router => ("a router", 'r'),
            NodeKind::Engine => ("an engine", 'e'),
            NodeKind::Service => ("a service", 's'),
        };
        let expected = format!("{what}, such as `{letter}1`");
        let number = self.take(&expected, |token| match token {
            LineToken::Word(word) => word.strip_prefix(letter)?.parse::<u32>().ok(),
            _ => None,
        })?;
        self.check_number(number, most, what).map(|number| NodeName { kind, number })
    }

    /// Reads the name of a team, whose number is at most `most`.
    pub(crate) fn team(&mut self, most: u32) -> LineResult<u32> {
        let number = self.take("a team, such as `t1`", |token| match token {
            LineToken::Word(word) => word.strip_prefix('t')?.parse::<u32>().ok(),
            _ => None,
        })?;
        self.check_number(number, most, "a team")
    }

    /// Fails if a token is left.
    pub(crate) fn end(&self) -> LineResult<()> {
        if self.is_done() {
            return Ok(());
        }
        Err(self.fault(format!("expected the end of the line, found {}", self.describe())))
    }

    fn check_number(&self, number: u32, most: u32, what: &str) -> LineResult<u32> {
        if (1..=most).contains(&number) {
            return Ok(number);
        }
        Err(self
            .fault_before(format!("there is no such {}: {most} are set up", strip_article(what))))
    }

    fn take<T>(&mut self, what: &str, accept: impl Fn(&LineToken) -> Option<T>) -> LineResult<T> {
        match self.peek().and_then(accept) {
            Some(value) => {
                self.next += 1;
                Ok(value)
            }
            None => Err(self.fault(format!("expected {what}, found {}", self.describe()))),
        }
    }

    fn peek(&self) -> Option<&LineToken> {
        self.tokens.get(self.next).map(|token| &token.token)
    }

    fn place(&self) -> Range<usize> {
        let end = self.length..self.length;
        self.tokens.get(self.next).map_or(end, |token| token.range.clone())
    }

    fn describe(&self) -> String {
        match self.peek() {
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
