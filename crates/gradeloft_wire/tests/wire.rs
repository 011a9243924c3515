//! Tests of frames, records, datagrams, documents and the error table.

use std::{fs, path::Path};

use gradeloft_wire::{
    border::{bundle::Bundle, settings::Settings},
    codec::{self, Decoder, Malformed},
    datagram::{
        Datagram, Loads, MAX_BYTES, MAX_SIGNALS, Presence, ReplicaSignal, Sender, StoreAccess,
    },
    error::{Kind, Ran, Retry},
    frame::{Call, Job, Pin, Repeat, Reply, Work},
    id::{Digest, Fingerprint, RequestId},
    position::Position,
    quarantine::{Crash, MAX_CRASHES, MAX_PER_DATAGRAM, Subject, Suspect},
    record::{FORMAT, Record, RecordError, SignedBundle},
    schema::{self, Schema},
};
use proptest::prelude::*;

fn work() -> Call {
    Call::Work(Work {
        request: RequestId(5),
        team: "duty".to_owned(),
        class: 1,
        deadline_ms: 900,
        job: Job::Service {
            service: "booking".to_owned(),
            method: "POST".to_owned(),
            path: "/charges".to_owned(),
            content_type: String::new(),
            body: vec![1, 2, 3],
            repeat: Repeat::Key("k".to_owned()),
        },
    })
}

#[test]
fn frames_decode_when_split_at_any_byte() {
    let pin = Pin {
        model: "m".to_owned(),
        adapter: None,
        version: "v1".to_owned(),
    };
    let job = Job::Generate {
        pin,
        prompt: "p".to_owned(),
        max_tokens: 3,
    };
    let Call::Work(generate) = work() else {
        unreachable!()
    };
    let calls = [Call::Watch, work(), Call::Work(Work { job, ..generate })];
    let bytes: Vec<u8> = calls
        .iter()
        .flat_map(|it| codec::encode_frame(it).to_vec())
        .collect();
    for cut in 0..bytes.len() {
        let mut decoder = Decoder::new(1 << 16);
        let mut decoded: Vec<Call> = Vec::new();
        for part in [&bytes[..cut], &bytes[cut..]] {
            decoder.feed(part);
            while let Some(call) = decoder.pop().unwrap() {
                decoded.push(call);
            }
        }
        assert_eq!(decoded, calls);
    }
}

#[test]
fn frames_that_are_too_long_or_have_trailing_bytes_are_rejected() {
    let mut decoder = Decoder::new(8);
    decoder.feed(&codec::encode_frame(&work()));
    assert_eq!(decoder.pop::<Call>(), Err(Malformed::Length));
    let mut body = codec::encode_body(&Call::Watch);
    body.push(0);
    assert_eq!(codec::decode_body::<Call>(&body), Err(Malformed::Trailing));
}

#[test]
fn a_length_above_the_decoding_limit_is_rejected() {
    // The body declares a vector of 2^60 bytes.
    let mut body = codec::encode_body(&Reply::Chunk(Vec::new()));
    body.truncate(1);
    body.push(253);
    body.extend((1u64 << 60).to_le_bytes());
    assert_eq!(codec::decode_body::<Reply>(&body), Err(Malformed::Body));
}

#[test]
fn records_of_a_newer_format_differ_from_malformed_ones() {
    let record = Record::Epoch {
        node: "a".to_owned(),
        nonce: 7,
    };
    let mut bytes = record.encode();
    assert_eq!(Record::decode(&bytes), Ok(record));
    bytes[0] = FORMAT + 1;
    assert_eq!(Record::decode(&bytes), Err(RecordError::Newer));
    bytes[0] = 0;
    assert_eq!(Record::decode(&bytes), Err(RecordError::Malformed));
    assert_eq!(Record::decode(&[]), Err(RecordError::Malformed));
}

#[test]
fn only_kinds_that_never_ran_are_retried_unconditionally() {
    for kind in Kind::ALL {
        let row = kind.row();
        if row.retry == Retry::Elsewhere || row.caller_may_retry {
            assert_eq!(row.ran, Ran::No, "{kind:?}");
        }
        assert!((400..600).contains(&row.status), "{kind:?}");
        assert_eq!(
            Kind::ALL.iter().filter(|it| it.name() == row.name).count(),
            1,
            "{kind:?}"
        );
        assert!(row.message.ends_with('.'), "{kind:?}");
        if row.retry_after_s.is_some() {
            assert!(row.caller_may_retry, "{kind:?}");
        }
    }
}

#[test]
fn the_errors_page_contains_the_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/ERRORS.md");
    let page = fs::read_to_string(path).expect("docs/ERRORS.md can be read");
    let table = page
        .split_once("\n| kind")
        .map(|(_, it)| format!("| kind{it}"));
    assert_eq!(
        table.expect("the page has a table"),
        Kind::table(),
        "copy the table into docs/ERRORS.md"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    /// Arbitrary bytes from a peer or from the log decode to an error or a message, without a
    /// panic.
    #[test]
    fn arbitrary_bytes_dont_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = codec::decode_body::<Call>(&bytes);
        let _ = codec::decode_body::<Reply>(&bytes);
        let _ = Record::decode(&bytes);
        let mut formatted = vec![FORMAT];
        formatted.extend(&bytes);
        let _ = Record::decode(&formatted);
        let mut decoder = Decoder::new(64);
        decoder.feed(&bytes);
        while let Ok(Some(_)) = decoder.pop::<Call>() {}
    }

    /// A record with a corrupted byte never decodes to the original bundle.
    #[test]
    fn a_corrupted_byte_changes_the_record(at in 0usize..120, flip in 1u8..) {
        let signed = SignedBundle {
            payload: b"{\"number\":1}".to_vec(),
            signer: "ops".to_owned(),
            signature: [3; 64],
        };
        let mut bytes = Record::Bundle(signed.clone()).encode();
        let at = at % bytes.len();
        bytes[at] ^= flip;
        if let Ok(Record::Bundle(read)) = Record::decode(&bytes) {
            prop_assert_ne!(read, signed);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Arbitrary text as settings or as a bundle gives faults, without a panic.
    #[test]
    fn arbitrary_text_doesnt_panic(text in "[ -~\\n]{0,120}") {
        let _ = schema::from_yaml::<Settings>(Schema::Settings, &text);
        let _ = schema::from_yaml::<Bundle>(Schema::Bundle, &text);
    }
}

#[test]
fn digests_and_ids_round_trip_through_text() {
    let digest = Digest::of(b"x");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!("zz".parse::<Digest>().is_err());
    let id = RequestId(1 << 100);
    assert_eq!(id.to_string().parse(), Ok(id));
    assert!("1".parse::<RequestId>().is_err());
}

/// Largest encoding of an era.
const MAX_ERA_BYTES: usize = 5;

#[test]
fn ages_of_copies_take_nine_bytes_of_a_datagram_at_most() {
    let length = |unconfirmed_ms| {
        let datagram = Datagram {
            incarnation: u64::MAX,
            zone: "z".to_owned(),
            ends: [Position::new(u32::MAX, u64::MAX); 3],
            kept: u32::MAX,
            unconfirmed_ms,
            sender: Sender::Entry {
                presence: Presence::Ready,
                store: StoreAccess::Served,
                wants_state: false,
                loads: Loads::default(),
                entries: Vec::new(),
                switched: Vec::new(),
            },
        };
        codec::encode_body(&datagram).len()
    };
    // A copy that was just confirmed takes one byte.
    let shortest = length([0; 3]);
    assert!(shortest < 64 + 3 * MAX_ERA_BYTES, "{shortest}");
    assert!(length([u16::MAX; 3]) <= shortest + 6);
}

/// A datagram that is too large isn't sent, so the maximum number of suspects must fit with all
/// their crashes.
#[test]
fn the_largest_message_of_signals_fits_into_a_datagram() {
    let signal = ReplicaSignal {
        replica: u32::MAX,
        limit: Some(u32::MAX),
        limit_age_ms: u32::MAX,
        leaving: true,
        leaving_age_ms: u32::MAX,
    };
    let datagram = Datagram {
        incarnation: u64::MAX,
        zone: "a zone with a very long name, in a region far away from all others".to_owned(),
        ends: [Position::new(u32::MAX, u64::MAX); 3],
        kept: u32::MAX,
        unconfirmed_ms: [u16::MAX; 3],
        sender: Sender::Signals {
            relayed: true,
            signals: vec![signal; MAX_SIGNALS],
        },
    };
    let bytes = codec::encode_body(&datagram).len();
    assert!(bytes <= MAX_BYTES, "{bytes}");
}

#[test]
fn the_largest_suspects_message_fits_into_a_datagram() {
    let crashes = (0..MAX_CRASHES as u32).map(|it| Crash {
        start: u32::MAX - it,
        void: true,
        age_ms: u32::MAX,
    });
    let suspect = Suspect {
        subject: Subject::Part(Fingerprint([255; 16])),
        crashes: crashes.collect(),
    };
    let datagram = Datagram {
        incarnation: u64::MAX,
        zone: "a zone with a very long name, in a region far away from all others".to_owned(),
        ends: [Position::new(u32::MAX, u64::MAX); 3],
        kept: u32::MAX,
        unconfirmed_ms: [u16::MAX; 3],
        sender: Sender::Suspects {
            relayed: true,
            suspects: vec![suspect; MAX_PER_DATAGRAM],
        },
    };
    let bytes = codec::encode_body(&datagram).len();
    assert!(bytes <= MAX_BYTES, "{bytes}");
}
