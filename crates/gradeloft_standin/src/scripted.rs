//! A fake of a replica that plays a script on each connection, down to how the connection ends.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Longest request that is read, in bytes.
const MAX_REQUEST: usize = 1 << 20;

/// One step of a script.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Ends the connection in order.
    Close,
    /// Reads the next request, whole.
    Read,
    /// Reads the head of the next request, and leaves its body unread.
    ReadHead,
    /// Resets the connection.
    Reset,
    /// Sends bytes.
    Send(String),
    /// Waits until the caller has gone.
    WaitForDisconnect,
    /// Waits.
    Wait(Duration),
}

/// What happened at a replica.
#[derive(Debug, Default)]
pub struct Recording {
    /// Connections.
    pub connections: usize,
    /// Requests that were read, whole or their heads.
    pub requests: Vec<String>,
    /// Connections on which the caller went away while it was waited for.
    pub disconnects: usize,
}

/// A replica that plays scripts.
pub struct ScriptedServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// What happened.
    pub recording: Rc<RefCell<Recording>>,
}

impl ScriptedServer {
    /// Listens on `address`; the connection of number n, from 0, plays `scripts[n]`, and those after
    /// the last script play the last one.
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
                    // A connection that breaks ends its script.
                    let _ = play(stream, script.unwrap_or_default(), &recording).await;
                });
            }
        });
        Ok(ScriptedServer { address, recording })
    }

    /// Requests so far.
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
                let request = read(&mut stream, &mut buffer, Part::Whole).await?;
                recording.borrow_mut().requests.push(request);
            }
            Step::ReadHead => {
                let request = read(&mut stream, &mut buffer, Part::Head).await?;
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
            Step::Wait(time) => actix_rt::time::sleep(time).await,
        }
    }
    // Held open, as a replica does between requests.
    while matches!(stream.read(&mut [0; 1024]).await, Ok(1..)) {}
    Ok(())
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Part {
    Head,
    Whole,
}

async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>, part: Part) -> io::Result<String> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let end = end + 4;
            let length = match part {
                Part::Head => 0,
                Part::Whole => length(&text[..end]),
            };
            if end + length <= buffer.len() {
                buffer.drain(..end + length);
                return Ok(text[..end + length].to_owned());
            }
        }
        let mut piece = [0; 4096];
        let count = stream.read(&mut piece).await?;
        if count == 0 || MAX_REQUEST < buffer.len() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&piece[..count]);
    }
}

fn length(head: &str) -> usize {
    let lines = head.lines();
    let value = lines
        .filter_map(|it| it.split_once(": "))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    value.and_then(|(_, it)| it.parse().ok()).unwrap_or(0)
}
