//! Framing of bodies and events.

use bytes::BytesMut;
use gradeloft_gateway::{
    events::{Cursor, Splitter},
    h1::{
        Malformed,
        body::{Decoder, Framing, Piece},
        head,
    },
};
use proptest::prelude::*;
use rstest::rstest;

/// Returns the body, whether it is complete, and the bytes after it.
fn decode(framing: Framing, parts: &[&[u8]]) -> Result<(Vec<u8>, bool, Vec<u8>), ()> {
    let mut decoder = Decoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    for (idx, part) in parts.iter().enumerate() {
        buffer.extend_from_slice(part);
        loop {
            match decoder.take(&mut buffer).map_err(|_| ())? {
                Piece::Data(data) => body.extend_from_slice(&data),
                Piece::End => {
                    let rest = parts[idx + 1..].concat();
                    return Ok((body, true, [&buffer[..], &rest].concat()));
                }
                Piece::More => break,
            }
        }
    }
    Ok((body, false, buffer.to_vec()))
}

proptest! {
    #[test]
    fn chunked_body_may_be_split_anywhere(cut in 0..38usize) {
        let bytes = b"5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nT: v\r\n\r\nnext";
        let decoded = decode(Framing::Chunked, &[&bytes[..cut], &bytes[cut..]]);
        prop_assert_eq!(decoded, Ok((b"hello world".to_vec(), true, b"next".to_vec())));
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(Framing::Chunked, &[&bytes]);
        let _ = head::request(&mut BytesMut::from(&bytes[..]));
        let _ = head::response(&mut BytesMut::from(&bytes[..]));
        let mut splitter = Splitter::default();
        splitter.feed(&bytes);
        while let Ok(Some(_)) = splitter.take() {}
    }

    #[test]
    fn events_are_complete_for_any_split_of_the_stream(cuts in prop::collection::vec(0..60usize, 0..6)) {
        let bytes: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4";
        let mut cuts: Vec<usize> = cuts.into_iter().map(|it| it.min(bytes.len())).collect();
        cuts.sort_unstable();
        let mut splitter = Splitter::default();
        let mut ids = Vec::new();
        let mut from = 0;
        for to in cuts.into_iter().chain([bytes.len()]) {
            splitter.feed(&bytes[from..to]);
            from = to;
            while let Some(event) = splitter.take().unwrap() {
                ids.push(event.id);
            }
        }
        prop_assert_eq!(ids, vec![Some(1), Some(2), Some(3)]);
        prop_assert!(splitter.has_partial_event());
    }
}

#[rstest]
#[case(b"x\r\n")]
#[case(b"-1\r\n")]
#[case(b"\r\n")]
#[case(b"1\r\nab\r\n")]
#[case(b"fffffffffffffffff\r\n")]
fn invalid_chunks_are_rejected(#[case] bytes: &[u8]) {
    assert_eq!(decode(Framing::Chunked, &[bytes]), Err(()));
}

#[test]
fn body_without_length_ends_only_with_its_connection() {
    let mut decoder = Decoder::new(Framing::Close);
    let mut buffer = BytesMut::from(&b"part"[..]);
    assert!(matches!(decoder.take(&mut buffer), Ok(Piece::Data(_))));
    assert_eq!(decoder.take(&mut buffer), Ok(Piece::More));
    assert!(decoder.finish_at_eof());
    let mut short = Decoder::new(Framing::Length(9));
    assert!(!short.finish_at_eof());
}

/// Returns whether a byte may stand in the name of a field.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns heads with a line of `byte` at the start of a name of `length` bytes, inside it and after it.
fn spoilt_names(start: &str, byte: u8, length: usize) -> impl Iterator<Item = BytesMut> {
    let start = start.to_owned();
    [0, length / 2, length].into_iter().flat_map(move |at| {
        let mut line = vec![b'n'; length];
        line.insert(at, byte);
        line.extend_from_slice(b": v\r\n");
        let length: &[u8] = b"Content-Length: 4\r\n";
        let orders = [[&line[..], length], [length, &line]];
        orders.map(|it| BytesMut::from(&[start.as_bytes(), &it.concat(), b"\r\nbody"].concat()[..]))
    })
}

/// Guards against a line that is passed on, or ends the head, so that the body is not the sender's.
#[test]
fn names_with_bytes_that_are_no_part_of_a_token_are_malformed() {
    let spoiling = (0..=u8::MAX).filter(|it| !is_token(*it) && *it != b':');
    for (byte, length) in spoiling.flat_map(|it| [2, 15, 16, 31, 32, 64].map(|length| (it, length)))
    {
        for mut head in spoilt_names("HTTP/1.1 200 OK\r\n", byte, length) {
            assert_eq!(
                head::response(&mut head),
                Err(Malformed),
                "{byte:#x} {length}"
            );
        }
        for mut head in spoilt_names("POST / HTTP/1.1\r\n", byte, length) {
            assert_eq!(
                head::request(&mut head),
                Err(Malformed),
                "{byte:#x} {length}"
            );
        }
    }
}

/// Guards against a line that is passed on, or ends the head, so that the body is not the sender's.
#[rstest]
#[case::without_a_colon("name v\r\n")]
#[case::of_one_word("name\r\n")]
#[case::folded("name: v\r\n folded: w\r\n")]
#[case::folded_by_a_tab("name: v\r\n\tfolded: w\r\n")]
#[case::ended_by_a_carriage_return("name: v\rother: w\r\n")]
#[case::ended_by_a_line_feed("name: v\nother: w\r\n")]
#[case::empty_up_to_a_line_feed("name:\nother: w\r\n")]
#[case::of_a_line_feed("\n")]
#[case::of_a_blank(" \r\n")]
#[case::with_a_nul_in_its_value("name: \0\r\n")]
#[case::with_a_delete_in_its_value("name: \u{7f}\r\n")]
fn heads_with_a_line_that_is_no_field_are_malformed(
    #[case] line: &str,
    #[values("", "Content-Length: 4\r\n")] before: &str,
    #[values("", "Content-Length: 4\r\n")] after: &str,
) {
    let lines = format!("{before}{line}{after}\r\nbody");
    let mut response = BytesMut::from(&format!("HTTP/1.1 200 OK\r\n{lines}")[..]);
    assert_eq!(head::response(&mut response), Err(Malformed));
    let mut request = BytesMut::from(&format!("POST / HTTP/1.1\r\n{lines}")[..]);
    assert_eq!(head::request(&mut request), Err(Malformed));
}

/// Returns the bytes of a stream's events from number `from` to `to`.
fn events(from: u64, to: u64) -> Vec<u8> {
    let event = |it: u64| format!("id: {it}\ndata: {}\n\n", "x".repeat(it as usize % 5));
    (from..=to).map(event).collect::<String>().into_bytes()
}

proptest! {
    /// Replicas fail anywhere in a stream, and those that continue it repeat some or all events.
    /// The caller must get each event once and in order. Fails if repeated events are not left out,
    /// or if an incomplete event is relayed.
    #[test]
    fn stream_resumed_across_replicas_has_each_event_once(
        runs in prop::collection::vec((0..8u64, 0..200usize, 1..40usize), 0..6),
        count in 1..20u64,
    ) {
        let mut cursor = Cursor::default();
        let mut out = BytesMut::new();
        let last_run = (0, usize::MAX, 7);
        for (repeated, bytes, part) in runs.into_iter().chain([last_run]) {
            let from = (cursor.last().unwrap_or(0) + 1).saturating_sub(repeated).max(1);
            let run = events(from, count);
            let run = &run[..bytes.min(run.len())];
            let mut splitter = Splitter::default();
            for part in run.chunks(part) {
                splitter.feed(part);
                cursor.relay_events(&mut splitter, &mut out).unwrap();
            }
        }
        prop_assert_eq!(&out[..], &events(1, count)[..]);
        prop_assert_eq!(cursor.last(), Some(count));
    }
}
