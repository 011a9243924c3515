//! Framing of bodies and events.

use bytes::BytesMut;
use gradeloft_gateway::{
    events::{Cursor, Splitter},
    h1::{
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
