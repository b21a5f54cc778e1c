//! Splitting of event streams.
//!
//! Guards against bytes of a faulty server that are forwarded as a part of a stream.

use catkin_http::{EventError, EventSplitter};
use proptest::prelude::*;

const LIMIT_BYTES: usize = 1024;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: event {id}\n\n")
}

/// Pushes fragments and returns all bytes that are passed on, and the error that ended the stream, if any.
fn split_fragments(
    splitter: &mut EventSplitter,
    fragments: &[&[u8]],
) -> (Vec<u8>, Option<EventError>) {
    let mut passed = Vec::new();
    for fragment in fragments {
        splitter.push(fragment);
        loop {
            match splitter.take_events() {
                Ok(Some(events)) => passed.extend_from_slice(&events),
                Ok(None) => break,
                Err(error) => return (passed, Some(error)),
            }
        }
    }
    (passed, None)
}

/// What is passed on of a sound event, the wrong bytes, and the events 2 and 3 after them.
fn split_spoiled(wrong: &[u8]) -> (String, Option<EventError>) {
    let mut splitter = EventSplitter::new(LIMIT_BYTES, None);
    let fragments = [event(1).as_bytes(), wrong, (event(2) + &event(3)).as_bytes()].concat();
    let (passed, error) = split_fragments(&mut splitter, &[&fragments]);
    (String::from_utf8(passed).unwrap(), error)
}

fn last_id(splitter: &EventSplitter) -> Option<&str> {
    splitter.last_id().map(|id| std::str::from_utf8(id).unwrap())
}

#[test]
fn incomplete_event_is_held_until_complete() {
    let mut splitter = EventSplitter::new(LIMIT_BYTES, None);

    let first = split_fragments(&mut splitter, &[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(first, (b"id: 1\ndata: a\n\n".to_vec(), None));
    assert_eq!(last_id(&splitter), Some("1"));

    let second = split_fragments(&mut splitter, &[b"ta: b\n", b"\n"]);
    assert_eq!(second, (b"id: 2\ndata: b\n\n".to_vec(), None));
    assert_eq!(last_id(&splitter), Some("2"));
    assert_eq!(splitter.pending_bytes(), 0);
}

/// Guards against wrong bytes, with a blank line behind them or not, that were forwarded as an event.
#[test]
fn wrong_bytes_between_events_are_not_passed_on() {
    let noise = "#".repeat(300);
    let cases = [
        (format!("{noise}\n\n"), EventError::Malformed),
        (format!("{noise}\n"), EventError::Malformed),
        (noise.clone(), EventError::Malformed),
        (format!("\u{0}\u{1}: {noise}\n\n"), EventError::Malformed),
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".into(), EventError::Malformed),
        ("id: 2\rdata: two\n\n".into(), EventError::Malformed),
        ("data: no identifier\n\n".into(), EventError::InvalidId),
        ("id: x\ndata: two\n\n".into(), EventError::InvalidId),
        ("id:\ndata: two\n\n".into(), EventError::InvalidId),
        ("id: 2\nid: 3\ndata: two\n\n".into(), EventError::InvalidId),
        ("id: 99999999999999999999\ndata: two\n\n".into(), EventError::InvalidId),
        ("id: 2\n\n".into(), EventError::NoData),
        ("id: 2\n".into(), EventError::InvalidId),
        (event(1), EventError::NotIncreasing { id: 1, last_id: 1 }),
    ];
    for (wrong, error) in cases {
        assert_eq!(split_spoiled(wrong.as_bytes()), (event(1), Some(error)), "{wrong:?}");
    }
}

/// Guards against a run of wrong bytes that is kept and joined to what another server sends.
#[test]
fn a_line_without_end_is_rejected_and_leaves_nothing_behind() {
    let mut splitter = EventSplitter::new(LIMIT_BYTES, None);
    let noise = "#".repeat(400);
    let fragments = [event(1), noise.clone(), noise.clone(), noise];
    let spoiled = split_fragments(&mut splitter, &fragments.each_ref().map(|text| text.as_bytes()));
    let too_long = EventError::TooLong { limit_bytes: LIMIT_BYTES };
    assert_eq!(spoiled, (event(1).into_bytes(), Some(too_long)));

    splitter.discard_pending();

    let resumed = split_fragments(&mut splitter, &[event(2).as_bytes()]);
    assert_eq!(resumed, (event(2).into_bytes(), None));
}

#[test]
fn a_comment_without_end_is_rejected() {
    let mut splitter = EventSplitter::new(LIMIT_BYTES, None);
    let comment = [b':'; LIMIT_BYTES + 1];

    let (passed, error) = split_fragments(&mut splitter, &[&comment]);

    assert_eq!(passed, b"");
    assert_eq!(error, Some(EventError::TooLong { limit_bytes: LIMIT_BYTES }));
}

#[test]
fn comments_and_empty_lines_between_events_are_discarded() {
    let (passed, error) = split_spoiled(b"\n\r\n: still at work\n\n:\r\n");

    assert_eq!((passed, error), (event(1) + &event(2) + &event(3), None));
}

#[test]
fn fields_of_events_are_passed_on_unchanged() {
    let mut splitter = EventSplitter::new(LIMIT_BYTES, None);
    let events = b"weight-versions: 7\nid: 1\ndata: a\n: b\ndata\nevent: end\nretry: 5\n\n\
                   id:2\r\ndata:\r\n\r\n";

    let (passed, error) = split_fragments(&mut splitter, &[events]);

    assert_eq!((&passed[..], error), (&events[..], None));
    assert_eq!(last_id(&splitter), Some("2"));
}

/// Guards against events that come twice: a server began again with a stream that it had to go on with.
#[test]
fn a_stream_goes_on_after_the_last_event_of_the_caller() {
    let mut splitter = EventSplitter::new(LIMIT_BYTES, Some(b"2"));
    assert_eq!(last_id(&splitter), Some("2"));

    let (passed, error) = split_fragments(&mut splitter, &[event(2).as_bytes()]);

    assert_eq!((passed, error), (vec![], Some(EventError::NotIncreasing { id: 2, last_id: 2 })));
}

#[test]
fn an_unreadable_last_event_bounds_no_identifier() {
    let mut splitter = EventSplitter::new(LIMIT_BYTES, Some(b"x"));

    let split = split_fragments(&mut splitter, &[event(1).as_bytes()]);

    assert_eq!(split, (event(1).into_bytes(), None));
}

proptest! {
    /// Whatever a server sends: what is passed on are events with data and increasing identifiers.
    #[test]
    fn only_events_with_increasing_identifiers_are_passed_on(
        parts in prop::collection::vec(
            prop_oneof![
                (0u64..9).prop_map(|id| event(id).into_bytes()),
                "[id:at0-9 \r\n#]{0,12}".prop_map(String::into_bytes),
                prop::collection::vec(any::<u8>(), 0..20),
            ],
            0..12,
        ),
        step in 1usize..30,
    ) {
        let bytes = parts.concat();
        let fragments: Vec<&[u8]> = bytes.chunks(step).collect();
        let mut splitter = EventSplitter::new(LIMIT_BYTES, None);

        let (passed, _) = split_fragments(&mut splitter, &fragments);

        let passed = String::from_utf8_lossy(&passed).replace("\r\n", "\n");
        prop_assert!(passed.is_empty() || passed.ends_with("\n\n"));
        let mut last_id = None;
        for event in passed.split_terminator("\n\n") {
            let ids: Vec<&str> = event.lines().filter_map(|line| line.strip_prefix("id:")).collect();
            prop_assert_eq!(ids.len(), 1);
            let id: u64 = ids[0].trim().parse().unwrap();
            prop_assert!(last_id.is_none_or(|last_id| id > last_id));
            prop_assert!(event.lines().any(|line| line.starts_with("data")));
            last_id = Some(id);
        }
    }

    #[test]
    fn events_split_at_any_byte_are_the_same(
        ids in prop::collection::btree_set(any::<u64>(), 0..6),
        step in 1usize..60,
    ) {
        let bytes: String = ids.into_iter().map(event).collect();
        let fragments: Vec<&[u8]> = bytes.as_bytes().chunks(step).collect();
        let mut splitter = EventSplitter::new(LIMIT_BYTES, None);

        prop_assert_eq!(split_fragments(&mut splitter, &fragments), (bytes.into_bytes(), None));
    }
}
