//! Crowds of clients that do not behave: they send much, slowly or without end, stop short of the end
//! of a request, and do not read responses.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{BufMut, Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinHandle,
};

/// Size of a piece of a body that is sent whole, in bytes.
const PIECE_BYTES: usize = 16 << 10;
/// Time without progress of any client after which a crowd counts as settled: its clients have sent all
/// that the server takes. A connection that finds the server's queue full is tried again after a second.
const SETTLED_AFTER: Duration = Duration::from_millis(1_500);
/// Interval between checks whether a crowd is settled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Connection preface of HTTP/2, with an empty `SETTINGS` frame and the acknowledgement of the server's.
const H2_PREFACE: &[u8] =
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0\0\0\0\x04\x01\0\0\0\0";
/// Time that an HTTP/2 server has to open the windows of a connection.
const H2_SETTINGS_PAUSE: Duration = Duration::from_millis(300);
/// Header block of `POST http://peer/`.
const H2_POST: &[u8] = b"\x83\x86\x84\x41\x04peer";

/// Bytes that one client of a crowd sends. Afterwards it keeps its connection open.
#[derive(Clone, Debug, Default)]
pub struct Script {
    opening: Bytes,
    piece: Bytes,
    pieces: usize,
    tail: Bytes,
    pause: Duration,
    is_deaf: bool,
}

impl Script {
    /// Connects, and sends nothing.
    pub fn silent() -> Script {
        Script::default()
    }

    /// Sends bytes as they are.
    pub fn raw(bytes: impl Into<Bytes>) -> Script {
        Script {
            opening: bytes.into(),
            ..Script::default()
        }
    }

    /// Sends bytes again and again.
    pub fn repeated(bytes: impl Into<Bytes>, times: usize) -> Script {
        Script {
            piece: bytes.into(),
            pieces: times,
            ..Script::default()
        }
    }

    /// Sends a body of `length` bytes with its length, without its last `missing` bytes. `head` is the
    /// request line and the headers, each with its line end.
    pub fn body(head: &str, length: usize, missing: usize) -> Script {
        let sent = length - missing;
        Script {
            opening: Bytes::from(format!("{head}Content-Length: {length}\r\n\r\n")),
            piece: Bytes::from(vec![b'x'; PIECE_BYTES]),
            pieces: sent / PIECE_BYTES,
            tail: Bytes::from(vec![b'x'; sent % PIECE_BYTES]),
            ..Script::default()
        }
    }

    /// Sends a body in chunks of `chunk` bytes, without the empty chunk that ends it.
    pub fn chunks(head: &str, chunk: usize, chunks: usize) -> Script {
        let mut piece = BytesMut::new();
        let per_piece = (PIECE_BYTES / chunk).clamp(1, chunks);
        for _ in 0..per_piece {
            piece.put_slice(format!("{chunk:x}\r\n").as_bytes());
            piece.put_bytes(b'x', chunk);
            piece.put_slice(b"\r\n");
        }
        Script {
            opening: Bytes::from(format!("{head}Transfer-Encoding: chunked\r\n\r\n")),
            piece: piece.freeze(),
            pieces: chunks / per_piece,
            ..Script::default()
        }
    }

    /// Sends the preface of HTTP/2 and `streams` requests whose frames are announced with `length` bytes
    /// and lack the last one.
    pub fn h2_frames(streams: u32, length: usize) -> Script {
        let mut frames = BytesMut::new();
        for stream in (0..streams).map(|it| 2 * it + 1) {
            put_h2_frame(&mut frames, 1, 4, stream, H2_POST);
            let mut body = BytesMut::new();
            body.put_u32(length as u32);
            body.put_bytes(b'x', length - 1);
            for piece in body.chunks(PIECE_BYTES) {
                put_h2_frame(&mut frames, 0, 0, stream, piece);
            }
        }
        Script {
            opening: Bytes::from_static(H2_PREFACE),
            piece: frames.freeze(),
            pieces: 1,
            pause: H2_SETTINGS_PAUSE,
            ..Script::default()
        }
    }

    /// Sends the preface of HTTP/2 and a header block of `bytes` bytes that does not end.
    pub fn h2_headers(bytes: usize) -> Script {
        let mut opening = BytesMut::from(H2_PREFACE);
        put_h2_frame(&mut opening, 1, 0, 1, H2_POST);
        let mut piece = BytesMut::new();
        // A header without an index, with a name of one byte and a value of 126.
        let mut header = BytesMut::from(&b"\x00\x01a\x7e"[..]);
        header.put_bytes(b'x', 126);
        put_h2_frame(
            &mut piece,
            9,
            0,
            1,
            &header.repeat(PIECE_BYTES / header.len()),
        );
        Script {
            opening: opening.freeze(),
            pieces: bytes / piece.len(),
            piece: piece.freeze(),
            ..Script::default()
        }
    }

    /// Sends the preface of HTTP/2 and requests that are reset at once.
    pub fn h2_resets(streams: u32) -> Script {
        let mut opening = BytesMut::from(H2_PREFACE);
        for stream in (0..streams).map(|it| 2 * it + 1) {
            put_h2_frame(&mut opening, 1, 4, stream, H2_POST);
            put_h2_frame(&mut opening, 3, 0, stream, &8_u32.to_be_bytes());
        }
        Script::raw(opening.freeze())
    }

    /// Pauses between two pieces.
    pub fn with_pause(self, pause: Duration) -> Script {
        Script { pause, ..self }
    }

    /// Never reads a response.
    pub fn deaf(self) -> Script {
        Script {
            is_deaf: true,
            ..self
        }
    }
}

fn put_h2_frame(out: &mut BytesMut, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
    out.put_uint(payload.len() as u64, 3);
    out.put_u8(kind);
    out.put_u8(flags);
    out.put_u32(stream);
    out.put_slice(payload);
}

/// Progress of all clients.
#[derive(Default)]
struct Progress {
    /// Bytes sent, and connections opened or ended.
    steps: Cell<u64>,
}

impl Progress {
    fn step(&self, steps: usize) {
        self.steps.set(self.steps.get() + steps as u64);
    }
}

/// Clients that all play the same script, until the crowd is dropped.
pub struct Crowd {
    progress: Rc<Progress>,
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts the clients.
    pub fn start(address: SocketAddr, script: &Script, clients: usize) -> Crowd {
        let progress = Rc::new(Progress::default());
        let client = |_| {
            let (script, progress) = (script.clone(), Rc::clone(&progress));
            actix_rt::spawn(async move { play(address, script, &progress).await })
        };
        Crowd {
            clients: (0..clients).map(client).collect(),
            progress,
        }
    }

    /// Waits until no client makes progress any more.
    pub async fn settle(&self) {
        let mut last = (self.progress.steps.get(), Instant::now());
        loop {
            actix_rt::time::sleep(POLL_INTERVAL).await;
            let steps = self.progress.steps.get();
            if steps != last.0 {
                last = (steps, Instant::now());
            } else if SETTLED_AFTER <= last.1.elapsed() {
                return;
            }
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.clients.iter().for_each(JoinHandle::abort);
    }
}

async fn play(address: SocketAddr, script: Script, progress: &Progress) {
    let Ok(stream) = TcpStream::connect(address).await else {
        progress.step(1);
        return;
    };
    progress.step(1);
    let (reader, mut writer) = stream.into_split();
    // A server that closes a connection ends the client only if the client notices.
    let is_deaf = script.is_deaf;
    let sending = async {
        if send(&mut writer, &script, progress).await.is_ok() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = sending => {}
        () = read_all(reader), if !is_deaf => {}
    }
    progress.step(1);
}

async fn send(
    writer: &mut OwnedWriteHalf,
    script: &Script,
    progress: &Progress,
) -> std::io::Result<()> {
    let pieces = std::iter::repeat_n(&script.piece, script.pieces);
    for part in [&script.opening]
        .into_iter()
        .chain(pieces)
        .chain([&script.tail])
    {
        let mut rest = &part[..];
        while !rest.is_empty() {
            let sent = writer.write(rest).await?;
            rest = &rest[sent..];
            progress.step(sent);
        }
        if !script.pause.is_zero() {
            actix_rt::time::sleep(script.pause).await;
        }
    }
    Ok(())
}

/// Reads and discards all that the server sends.
async fn read_all(mut reader: OwnedReadHalf) {
    let mut buffer = [0; 4 << 10];
    while matches!(reader.read(&mut buffer).await, Ok(1..)) {}
}
