//! A fake server that plays a script on each connection, including how the connection ends.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Maximum size of a request, in bytes.
const MAX_REQUEST: usize = 1 << 20;

/// One step of a script.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Closes the connection gracefully.
    Close,
    /// Reads the next request with its body.
    Read,
    /// Reads the head of the next request and leaves its body unread.
    ReadHead,
    /// Resets the connection.
    Reset,
    /// Sends bytes.
    Send(String),
    /// Waits until the client disconnects.
    WaitForDisconnect,
    /// Waits for a duration.
    Wait(Duration),
}

/// Events at a scripted server.
#[derive(Debug, Default)]
pub struct Recording {
    /// Number of accepted connections.
    pub connections: usize,
    /// Requests read so far, with or without bodies as the scripts say.
    pub requests: Vec<String>,
    /// Number of [`Step::WaitForDisconnect`] steps that completed.
    pub disconnects: usize,
}

/// A server that plays scripts.
pub struct ScriptedServer {
    /// Listening address.
    pub address: SocketAddr,
    /// Events so far.
    pub recording: Rc<RefCell<Recording>>,
}

impl ScriptedServer {
    /// Starts a server on `address`. Connection n, counted from 0, plays `scripts[n]`; connections
    /// beyond the last script play the last script.
    pub async fn start(address: &str, scripts: Vec<Vec<Step>>) -> io::Result<ScriptedServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let recording = Rc::new(RefCell::new(Recording::default()));
        let serving = Rc::clone(&recording);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = serving.borrow().connections;
                serving.borrow_mut().connections += 1;
                let script = scripts.get(number).or(scripts.last()).cloned();
                let recording = Rc::clone(&serving);
                actix_rt::spawn(async move {
                    // A connection error ends the script.
                    let _ = play(stream, script.unwrap_or_default(), &recording).await;
                });
            }
        });
        Ok(ScriptedServer { address, recording })
    }

    /// Returns the requests read so far.
    pub fn requests(&self) -> Vec<String> {
        self.recording.borrow().requests.clone()
    }
}

async fn play(
    mut stream: TcpStream,
    script: Vec<Step>,
    recording: &RefCell<Recording>,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    for step in script {
        match step {
            Step::Close => return Ok(()),
            Step::Read => {
                let request = read_request(&mut stream, &mut buffer, Extent::Full).await?;
                recording.borrow_mut().requests.push(request);
            }
            Step::ReadHead => {
                let request = read_request(&mut stream, &mut buffer, Extent::Head).await?;
                recording.borrow_mut().requests.push(request);
            }
            Step::Reset => {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
                return Ok(());
            }
            Step::Send(text) => {
                stream.write_all(text.as_bytes()).await?;
                stream.flush().await?;
            }
            Step::WaitForDisconnect => {
                while matches!(stream.read(&mut [0; 1024]).await, Ok(1..)) {}
                recording.borrow_mut().disconnects += 1;
            }
            Step::Wait(duration) => actix_rt::time::sleep(duration).await,
        }
    }
    // Keeps the connection open, as a server does between requests.
    while matches!(stream.read(&mut [0; 1024]).await, Ok(1..)) {}
    Ok(())
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Extent {
    Head,
    Full,
}

async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    extent: Extent,
) -> io::Result<String> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let end = end + 4;
            let length = match extent {
                Extent::Head => 0,
                Extent::Full => content_length(&text[..end]),
            };
            if end + length <= buffer.len() {
                buffer.drain(..end + length);
                return Ok(text[..end + length].to_owned());
            }
        }
        let mut chunk = [0; 4096];
        let count = stream.read(&mut chunk).await?;
        if count == 0 || MAX_REQUEST < buffer.len() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}

fn content_length(head: &str) -> usize {
    let lines = head.lines();
    let value = lines
        .filter_map(|it| it.split_once(": "))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    value.and_then(|(_, it)| it.parse().ok()).unwrap_or(0)
}
