//! A way between the system and a runner, whose connections can be reset.

use crate::http::reset;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

#[derive(Clone)]
pub struct Link {
    pub addr: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    /// Starts a way to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let link = Self {
            addr: listener.local_addr().expect("an address"),
            open: Arc::default(),
        };
        let open = link.open.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (stream.set_nodelay(true), far.set_nodelay(true));
                let mut open = open.lock().expect("the list");
                let handle = |s: &TcpStream| s.try_clone().expect("a handle");
                open.extend([handle(&stream), handle(&far)]);
                let (near_copy, far_copy) = (handle(&stream), handle(&far));
                thread::spawn(move || copy(stream, far));
                thread::spawn(move || copy(far_copy, near_copy));
            }
        });
        link
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.open
            .lock()
            .expect("the list")
            .drain(..)
            .for_each(|stream| reset(&stream));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16 << 10];
    while let Ok(n) = from.read(&mut bytes) {
        if n == 0 || to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}
