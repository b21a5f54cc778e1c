//! Parses the framing of HTTP/1.1 messages, without I/O.
//!
//! [`take_request_head`] and [`take_response_head`] remove a message head from a buffer,
//! [`BodyDecoder`] decodes the body that follows, and [`EventSplitter`] splits a body into complete
//! server-sent events. A message is rejected if two parsers could disagree on where it ends,
//! because that enables request smuggling.
//!
//! Read `field` (header fields) first, then `head`, `framing` (where a body ends), `body` and
//! `event`.
//!
//! ```
//! use bytes::BytesMut;
//! use catkin_http::{BodyFraming, determine_request_framing, take_request_head};
//!
//! let mut buffer = BytesMut::from("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nok");
//! let head = take_request_head(&mut buffer, 1024).unwrap().unwrap();
//! assert_eq!(determine_request_framing(&head).unwrap(), BodyFraming::Length(2));
//! assert_eq!(&buffer[..], b"ok");
//! ```

mod body;
mod event;
mod field;
mod framing;
mod head;

pub use body::{BodyDecoder, BodyError, BodyStep};
pub use event::{EventError, EventSplitter};
pub use field::{FieldList, HeaderField};
pub use framing::{
    BodyFraming, FramingError, determine_request_framing, determine_response_framing,
};
pub use head::{HeadError, RequestHead, ResponseHead, take_request_head, take_response_head};
