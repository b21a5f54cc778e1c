//! Bodies and events.

use bytes::BytesMut;
use catkin_http::{BodyDecoder, BodyError, BodyFraming, BodyStep, EventSplitter};
use proptest::prelude::*;

fn decode_pieces(framing: BodyFraming, pieces: &[&[u8]]) -> Result<(Vec<u8>, bool), BodyError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            match decoder.decode(&mut buffer)? {
                BodyStep::Data(bytes) => body.extend_from_slice(&bytes),
                BodyStep::NeedMore => break,
                BodyStep::End => return Ok((body, true)),
            }
        }
    }
    Ok((body, decoder.is_complete()))
}

fn encode_chunks(chunks: &[Vec<u8>]) -> Vec<u8> {
    let mut coded = Vec::new();
    for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
        coded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        coded.extend_from_slice(chunk);
        coded.extend_from_slice(b"\r\n");
    }
    coded.extend_from_slice(b"0\r\n\r\n");
    coded
}

#[test]
fn a_counted_body_leaves_what_follows() {
    let mut buffer = BytesMut::from("abcrest");
    let mut decoder = BodyDecoder::new(BodyFraming::Length(3));
    assert_eq!(decoder.decode(&mut buffer), Ok(BodyStep::Data("abc".into())));
    assert_eq!(decoder.decode(&mut buffer), Ok(BodyStep::End));
    assert_eq!(&buffer[..], b"rest");
}

#[test]
fn a_chunk_that_is_longer_than_its_size_is_refused() {
    let decoded = decode_pieces(BodyFraming::Chunked, &[b"2\r\nabc\r\n0\r\n\r\n"]);
    assert_eq!(decoded, Err(BodyError::ChunkEnd));
}

#[test]
fn sizes_that_other_parsers_read_otherwise_are_refused() {
    for line in ["", "-1", "0x2", "2 2", "+2", "1234567890abcdef0"] {
        let coded = format!("{line}\r\nab\r\n0\r\n\r\n");
        let decoded = decode_pieces(BodyFraming::Chunked, &[coded.as_bytes()]);
        assert_eq!(decoded, Err(BodyError::ChunkSize), "size line {line:?}");
    }
    let decoded = decode_pieces(BodyFraming::Chunked, &[b"2\nab\r\n0\r\n\r\n"]);
    assert_eq!(decoded, Err(BodyError::ChunkSize));
}

#[test]
fn a_body_cut_short_is_not_whole() {
    let decoded = decode_pieces(BodyFraming::Chunked, &[b"3\r\nabc\r\n"]);
    assert_eq!(decoded, Ok((b"abc".to_vec(), false)));
}

#[test]
fn a_torn_event_is_kept_back() {
    let mut splitter = EventSplitter::new(1024);
    let whole = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(whole.as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(splitter.last_id().map(|id| &id[..]), Some(&b"1"[..]));
    assert_eq!(splitter.push(b"ta: b\n\n").unwrap().as_deref(), Some(&b"id: 2\ndata: b\n\n"[..]));
    assert_eq!(splitter.last_id().map(|id| &id[..]), Some(&b"2"[..]));
}

proptest! {
    #[test]
    fn chunks_cut_anywhere_give_the_same_body(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8),
        cut in 0usize..400,
    ) {
        let coded = encode_chunks(&chunks);
        let cut = cut.min(coded.len());
        let decoded = decode_pieces(BodyFraming::Chunked, &[&coded[..cut], &coded[cut..]]);
        prop_assert_eq!(decoded, Ok((chunks.concat(), true)));
    }

    #[test]
    fn any_bytes_end_the_decoder_or_make_it_wait(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
    ) {
        let _ = decode_pieces(BodyFraming::Chunked, &[&bytes]);
    }
}
