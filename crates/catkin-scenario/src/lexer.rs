//! Splits one line of a scenario into tokens.

use std::ops::Range;
use std::time::Duration;

use winnow::ascii::{digit1, space0};
use winnow::combinator::{alt, eof, opt, preceded, repeat, terminated};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{any, take_while};

use crate::script::CompareKind;

const MILLIS_PER_SECOND: u64 = 1_000;
const SECONDS_PER_MINUTE: u64 = 60;
/// Longest time that a scenario may contain: one day.
const MAX_MILLIS: u64 = 24 * 60 * SECONDS_PER_MINUTE * MILLIS_PER_SECOND;

/// A token of a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LineToken {
    /// Letters, digits and underscores, starting with a letter.
    Word(String),
    /// A number without a unit.
    Number(u64),
    /// A time, such as `250ms`, `3s` or `2m`.
    Time(Duration),
    /// A percentage, such as `10%`.
    Percent(u32),
    /// A rate, such as `5/s` or `30/m`, converted to events per minute.
    Rate(u32),
    /// `=`, `<=` or `>=`.
    Compare(CompareKind),
    /// Any other character.
    Other(char),
}

/// A token and its byte range within the line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LocatedToken {
    pub(crate) token: LineToken,
    pub(crate) range: Range<usize>,
}

type Input<'a> = LocatingSlice<&'a str>;

/// Splits a line into tokens, without the comment that runs from `#` to the end of the line.
pub(crate) fn split_tokens(line: &str) -> Vec<LocatedToken> {
    let tokens = repeat(0.., preceded(space0, located_token));
    let comment = (space0, opt(('#', take_while(0.., |_| true))), eof);
    // Cannot fail: every character that fits no other token becomes `LineToken::Other`.
    terminated(tokens, comment).parse(LocatingSlice::new(line)).unwrap_or_default()
}

fn located_token(input: &mut Input<'_>) -> ModalResult<LocatedToken> {
    token.with_span().map(|(token, range)| LocatedToken { token, range }).parse_next(input)
}

fn token(input: &mut Input<'_>) -> ModalResult<LineToken> {
    alt((word, quantity, compare, other)).parse_next(input)
}

fn word(input: &mut Input<'_>) -> ModalResult<LineToken> {
    let first = take_while(1, |symbol: char| symbol.is_ascii_alphabetic());
    let rest = take_while(0.., |symbol: char| symbol.is_ascii_alphanumeric() || symbol == '_');
    (first, rest).take().map(|text: &str| LineToken::Word(text.to_owned())).parse_next(input)
}

fn quantity(input: &mut Input<'_>) -> ModalResult<LineToken> {
    let unit = alt(("ms", "s", "m", "%", "/s", "/m"));
    (digit1.parse_to::<u64>(), opt(unit)).verify_map(to_quantity).parse_next(input)
}

fn to_quantity((number, unit): (u64, Option<&str>)) -> Option<LineToken> {
    match unit {
        None => Some(LineToken::Number(number)),
        Some("%") => Some(LineToken::Percent(u32::try_from(number).ok()?)),
        Some("/s") => Some(LineToken::Rate(to_rate(number, SECONDS_PER_MINUTE)?)),
        Some("/m") => Some(LineToken::Rate(to_rate(number, 1)?)),
        Some("ms") => to_time(number, 1),
        Some("s") => to_time(number, MILLIS_PER_SECOND),
        Some(_) => to_time(number, SECONDS_PER_MINUTE * MILLIS_PER_SECOND),
    }
}

fn to_rate(number: u64, per_minute: u64) -> Option<u32> {
    u32::try_from(number.checked_mul(per_minute)?).ok()
}

fn to_time(number: u64, millis: u64) -> Option<LineToken> {
    let millis = number.checked_mul(millis).filter(|&millis| millis <= MAX_MILLIS)?;
    Some(LineToken::Time(Duration::from_millis(millis)))
}

fn compare(input: &mut Input<'_>) -> ModalResult<LineToken> {
    alt((
        "<=".value(CompareKind::AtMost),
        ">=".value(CompareKind::AtLeast),
        "=".value(CompareKind::Equal),
    ))
    .map(LineToken::Compare)
    .parse_next(input)
}

fn other(input: &mut Input<'_>) -> ModalResult<LineToken> {
    any.verify(|&symbol: &char| symbol != '#' && !symbol.is_whitespace())
        .map(LineToken::Other)
        .parse_next(input)
}
