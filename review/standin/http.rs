//! HTTP/1.1 for the stand-ins: a server with one thread for each connection, and a client.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};

/// Fields of a head, as they were sent.
pub type Fields = Vec<(String, String)>;

/// Returns the value of a field.
pub fn field<'a>(fields: &'a Fields, name: &str) -> Option<&'a str> {
    let named = fields.iter().find(|it| it.0.eq_ignore_ascii_case(name));
    named.map(|it| it.1.as_str())
}

/// A request that has arrived whole.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub fields: Fields,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a parameter of the query.
    pub fn param(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|it| it.0 == name).map(|it| it.1)
    }

    /// Returns a number from the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.param(name)?.parse().ok()
    }
}

/// Reads lines and bodies from a connection.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire {
            stream,
            buffer: Vec::new(),
        }
    }

    fn more(&mut self) -> io::Result<()> {
        let mut part = [0; 65_536];
        let read = self.stream.read(&mut part)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&part[..read]);
        Ok(())
    }

    /// Takes a number of bytes.
    pub fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.more()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Takes a line without its end.
    pub fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.more()?;
        }
    }

    /// Takes the first line and the fields of a head.
    pub fn head(&mut self) -> io::Result<(String, Fields)> {
        let first = self.line()?;
        let mut fields = Fields::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok((first, fields));
            }
            if let Some((name, value)) = line.split_once(':') {
                fields.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Takes the next chunk of a chunked body; an empty one is the last.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let chunk = self.take(size)?;
        self.line()?;
        Ok(chunk)
    }

    fn body(&mut self, fields: &Fields) -> io::Result<Vec<u8>> {
        if field(fields, "transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let length = field(fields, "content-length").and_then(|it| it.parse().ok());
        self.take(length.unwrap_or(0))
    }

    fn request(&mut self) -> io::Result<Request> {
        let (first, fields) = self.head()?;
        let body = self.body(&fields)?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        Ok(Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            fields,
            body,
        })
    }

    /// Sends a whole answer.
    pub fn answer(&mut self, status: u16, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in fields {
            out += &format!("{name}: {value}\r\n");
        }
        out += "\r\n";
        let mut out = out.into_bytes();
        out.extend_from_slice(body);
        self.stream.write_all(&out)
    }

    /// Sends an answer in JSON.
    pub fn json(&mut self, status: u16, body: &str) -> io::Result<()> {
        self.answer(
            status,
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }
}

/// Answers one request on its connection.
pub type Handler = Arc<dyn Fn(Request, &mut Wire) -> io::Result<()> + Send + Sync>;

/// Serves a listener on threads of its own.
pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(request) = wire.request() {
                    if handler(request, &mut wire).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// An answer as a client got it.
pub struct Answer {
    pub status: u16,
    pub fields: Fields,
    /// Whether the answer ended as its framing says.
    pub whole: bool,
}

/// Sends a request on a new connection and reads the answer.
pub fn call(to: SocketAddr, head: &str, body: &[u8], within: Duration) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(within))?;
    let mut wire = Wire::new(stream);
    let mut out = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    wire.stream.write_all(&out)?;
    let (first, fields) = wire.head()?;
    let status = first.split(' ').nth(1).and_then(|it| it.parse().ok());
    let read = wire.body(&fields);
    Ok(Answer {
        status: status.unwrap_or(0),
        fields,
        whole: read.is_ok(),
    })
}
