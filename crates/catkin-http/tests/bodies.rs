//! Decoding of bodies.
//!
//! Guards against chunk sizes that other parsers read differently, and bodies that pass for complete
//! after a lost connection.

use bytes::BytesMut;
use catkin_http::{BodyDecoder, BodyError, BodyFraming, BodyStep};
use proptest::prelude::*;

fn decode_fragments(
    framing: BodyFraming,
    fragments: &[&[u8]],
) -> Result<(Vec<u8>, bool), BodyError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    for fragment in fragments {
        buffer.extend_from_slice(fragment);
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
    let mut encoded = Vec::new();
    for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
        encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded.extend_from_slice(b"0\r\n\r\n");
    encoded
}

#[test]
fn body_with_a_length_leaves_following_bytes_in_the_buffer() {
    let mut buffer = BytesMut::from("abcrest");
    let mut decoder = BodyDecoder::new(BodyFraming::Length(3));
    assert_eq!(decoder.decode(&mut buffer), Ok(BodyStep::Data("abc".into())));
    assert_eq!(decoder.decode(&mut buffer), Ok(BodyStep::End));
    assert_eq!(&buffer[..], b"rest");
}

#[test]
fn chunk_longer_than_its_size_is_rejected() {
    let decoded = decode_fragments(BodyFraming::Chunked, &[b"2\r\nabc\r\n0\r\n\r\n"]);
    assert_eq!(decoded, Err(BodyError::ChunkEnd));
}

#[test]
fn ambiguous_chunk_sizes_are_rejected() {
    for line in ["", "-1", "0x2", "2 2", "+2", "1234567890abcdef0"] {
        let encoded = format!("{line}\r\nab\r\n0\r\n\r\n");
        let decoded = decode_fragments(BodyFraming::Chunked, &[encoded.as_bytes()]);
        assert_eq!(decoded, Err(BodyError::ChunkSize), "size line {line:?}");
    }
    let decoded = decode_fragments(BodyFraming::Chunked, &[b"2\nab\r\n0\r\n\r\n"]);
    assert_eq!(decoded, Err(BodyError::ChunkSize));
}

#[test]
fn truncated_body_is_incomplete() {
    let decoded = decode_fragments(BodyFraming::Chunked, &[b"3\r\nabc\r\n"]);
    assert_eq!(decoded, Ok((b"abc".to_vec(), false)));
}

proptest! {
    #[test]
    fn chunks_split_at_any_byte_decode_to_the_same_body(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8),
        split in 0usize..400,
    ) {
        let encoded = encode_chunks(&chunks);
        let split = split.min(encoded.len());
        let decoded =
            decode_fragments(BodyFraming::Chunked, &[&encoded[..split], &encoded[split..]]);
        prop_assert_eq!(decoded, Ok((chunks.concat(), true)));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
    ) {
        let _ = decode_fragments(BodyFraming::Chunked, &[&bytes]);
    }
}
