//! The platform's store: objects, revisions, watches and eras over HTTP/1.1. It has one listener for each
//! router, so that it can turn single machines away.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type Objects = BTreeMap<(String, String), (u64, String)>;

#[derive(Default)]
struct State {
    objects: Objects,
    /// Revision, kind, name, and content unless the object was removed.
    changes: Vec<(u64, String, String, Option<String>)>,
    revision: u64,
    /// Revision from which on the history is known.
    history_from: u64,
    era: u64,
    /// Whether the store is down for everybody.
    away: bool,
    /// Listeners that turn their router away.
    cut: Vec<bool>,
    /// Open connections, by listener.
    open: Vec<(usize, TcpStream)>,
}

/// A handle of the store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn new() -> Self {
        let state = State { era: 1, revision: 10, history_from: 10, ..State::default() };
        Self { state: Arc::new((Mutex::new(state), Condvar::new())) }
    }

    /// Opens a listener for one router.
    pub fn listen(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let number = self.change(|state| {
            state.cut.push(false);
            state.cut.len() - 1
        });
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let is_refused = store.change(|state| {
                    let is_refused = state.away || state.cut[number];
                    if let (false, Ok(copy)) = (is_refused, stream.try_clone()) {
                        state.open.push((number, copy));
                    }
                    is_refused
                });
                if !is_refused {
                    let store = store.clone();
                    thread::spawn(move || store.serve(stream, number));
                }
            }
        });
        Ok(address)
    }

    /// Writes an object as the operator or a server does.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        self.change(|state| state.put(kind, name, spec));
    }

    /// Copies all objects.
    pub fn copy(&self) -> (Objects, u64) {
        self.change(|state| (state.objects.clone(), state.revision))
    }

    /// Takes the store away: connections break, and new ones end at once.
    pub fn go_away(&self) {
        self.change(|state| {
            state.away = true;
            state.close(|_| true);
        });
    }

    /// Brings the store back from a copy. What was written since is gone, and the era rises by one.
    pub fn come_back(&self, (objects, revision): (Objects, u64)) {
        self.change(|state| {
            state.objects = objects;
            state.revision = revision;
            state.history_from = revision;
            state.changes.clear();
            state.era += 1;
            state.away = false;
        });
    }

    /// Cuts a router off from the store, or ends that.
    pub fn cut(&self, number: usize, is_cut: bool) {
        self.change(|state| {
            state.cut[number] = is_cut;
            if is_cut {
                state.close(|other| other == number);
            }
        });
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let (state, changed) = &*self.state;
        let result = change(&mut state.lock().unwrap());
        changed.notify_all();
        result
    }

    fn serve(&self, mut stream: TcpStream, number: usize) {
        let mut buffer = Vec::new();
        while let Some((head, body)) = read_message(&mut stream, &mut buffer) {
            let Some((status, text)) = self.answer(&head, &body, number) else { return };
            let era = self.change(|state| state.era);
            thread::sleep(Duration::from_millis(4));
            let answer = format!(
                "HTTP/1.1 {status} -\r\nStore-Era: {era}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call; `None` if the connection breaks meanwhile.
    fn answer(&self, head: &str, body: &str, number: usize) -> Option<(u16, String)> {
        let mut words = head.split(' ');
        let (method, target) = (words.next()?, words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix("/v1/objects/")?;
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let number_of = |key: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(found, _)| *found == key).find_map(|(_, value)| value.parse().ok())
        };
        if let Some(since) = number_of("Watch") {
            return self.watch(kind, since, number_of("WaitMs").unwrap_or(0), number);
        }
        let (name, required) = match method {
            "POST" | "PUT" => (find_text(body, "Name")?, find_number(body, "Revision")),
            _ => (name.to_owned(), number_of("Revision")),
        };
        Some(self.change(|state| state.call(method, kind, &name, required, body)))
    }

    fn watch(&self, kind: &str, since: u64, wait: u64, number: usize) -> Option<(u16, String)> {
        let until = Instant::now() + Duration::from_millis(wait);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let era = state.era;
        loop {
            if state.away || state.cut[number] {
                return None;
            }
            if state.era != era || since > state.revision || since < state.history_from {
                return Some((410, "{}".to_owned()));
            }
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|(revision, found, ..)| *revision > since && found == kind)
                .map(|(revision, _, name, spec)| {
                    let object = encode_object(name, *revision, spec.as_deref().unwrap_or("{}"));
                    format!(r#"{{"Object":{object},"Removed":{}}}"#, spec.is_none())
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let text = format!(r#"{{"events":[{events}],"AsOf":{}}}"#, state.revision);
                return Some((200, text));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if self.objects.get(&key).is_some_and(|(_, known)| known == spec) {
            return;
        }
        self.revision += 1;
        self.objects.insert(key.clone(), (self.revision, spec.to_owned()));
        self.changes.push((self.revision, key.0, key.1, Some(spec.to_owned())));
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if self.objects.remove(&key).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, key.0, key.1, None));
        }
    }

    fn call(
        &mut self,
        method: &str,
        kind: &str,
        name: &str,
        required: Option<u64>,
        body: &str,
    ) -> (u16, String) {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key).cloned();
        if method == "GET" && name.is_empty() {
            let found = self.objects.iter().filter(|((found, _), _)| found == kind);
            let entries: Vec<String> = found
                .map(|((_, name), (revision, spec))| encode_object(name, *revision, spec))
                .collect();
            let entries = entries.join(",");
            let revision = self.revision;
            let text = format!(r#"{{"Entries":[{entries}],"HasMore":false,"AsOf":{revision}}}"#);
            return (200, text);
        }
        let encode = |(revision, spec): &(u64, String)| encode_object(name, *revision, spec);
        match (method, &known) {
            ("GET", Some(object)) => (200, encode(object)),
            ("POST", Some(object)) => (409, encode(object)),
            ("GET" | "PUT" | "DELETE", None) => (404, "{}".to_owned()),
            (_, Some(object)) if required.is_some_and(|required| required != object.0) => {
                (409, encode(object))
            }
            ("DELETE", _) => {
                self.delete(kind, name);
                (200, "{}".to_owned())
            }
            _ => {
                self.put(kind, name, find_object(body, "Spec").unwrap_or("{}"));
                (200, encode(&self.objects[&key]))
            }
        }
    }

    fn close(&mut self, is_closed: impl Fn(usize) -> bool) {
        for (_, stream) in self.open.iter().filter(|(number, _)| is_closed(*number)) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.open.retain(|(number, _)| !is_closed(*number));
    }
}

fn encode_object(name: &str, revision: u64, spec: &str) -> String {
    format!(r#"{{"Metadata":{{"Name":"{name}","Revision":{revision}}},"Spec":{spec}}}"#)
}

/// Reads a message with a length; `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, String)> {
    let mut part = [0; 4096];
    loop {
        if let Some(at) = buffer.windows(4).position(|end| end == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..at + 4]).into_owned();
            let length = find_field(&head, "content-length").and_then(|text| text.parse().ok());
            let end = at + 4 + length.unwrap_or(0);
            if buffer.len() >= end {
                let body = String::from_utf8_lossy(&buffer[at + 4..end]).into_owned();
                buffer.drain(..end);
                return Some((head, body));
            }
        }
        match stream.read(&mut part) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&part[..count]),
            _ => return None,
        }
    }
}

/// Value of a header field.
pub fn find_field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let found = fields.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim()).next()
}

/// Text of a JSON field.
fn find_text(text: &str, field: &str) -> Option<String> {
    let rest = text.split_once(&format!("\"{field}\":\""))?.1;
    Some(rest.split('"').next()?.to_owned())
}

/// Number of a JSON field.
fn find_number(text: &str, field: &str) -> Option<u64> {
    let rest = text.split_once(&format!("\"{field}\":"))?.1;
    rest.split(|found: char| !found.is_ascii_digit()).next()?.parse().ok()
}

/// A JSON object in a field, as text.
fn find_object<'a>(text: &'a str, field: &str) -> Option<&'a str> {
    let rest = text.split_once(&format!("\"{field}\":"))?.1;
    let (mut depth, mut in_text, mut escaped) = (0, false, false);
    for (at, found) in rest.char_indices() {
        match found {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => in_text = !in_text,
            '{' if !in_text => depth += 1,
            '}' if !in_text => {
                depth -= 1;
                if depth == 0 {
                    return Some(&rest[..=at]);
                }
            }
            _ => {}
        }
    }
    None
}
