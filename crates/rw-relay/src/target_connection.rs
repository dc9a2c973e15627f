//! Connection to a target, from one call to the next.

use crate::{
    Connection,
    carried_calls::{CallKey, CarriedCalls},
    connection_writer::ConnectionWriter,
};
use smol::future;
use std::{cell::Cell, net::SocketAddr, rc::Rc};

/// Counts an open connection towards the limit of its address until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenCount(Rc<Cell<u32>>);

impl OpenCount {
    pub(crate) fn new(count: Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// An open connection to a target that carries no request.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    connection: Connection,
    addr: SocketAddr,
    incarnation: u64,
    carried: CarriedCalls,
    _count: OpenCount,
}

impl TargetConnection {
    pub(crate) fn new(
        connection: Connection,
        (addr, incarnation): (SocketAddr, u64),
        count: OpenCount,
    ) -> Self {
        Self {
            connection,
            addr,
            incarnation,
            carried: CarriedCalls::default(),
            _count: count,
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether there is no unread data and the target has not closed the connection.
    pub(crate) fn is_idle(&self) -> bool {
        self.connection.is_idle()
    }

    /// Whether the response to a call can be told from those to the calls that it has carried.
    pub(crate) fn can_tell(&self, call: CallKey) -> bool {
        self.carried.can_tell(call)
    }

    /// Begins a call, whose request, a head and a body, is to be sent.
    pub(crate) fn begin<'a>(
        mut self,
        call: CallKey,
        (head, body): (Vec<u8>, &'a [u8]),
    ) -> (ActiveConnection, Sending<'a>) {
        let is_first_call = self.carried.is_empty();
        self.carried.add(call);
        self.connection.begin_message(head.len() + body.len());
        let is_sent = Rc::new(Cell::new(false));
        let sending = Sending {
            writer: self.connection.writer(),
            head,
            body,
            is_sent: is_sent.clone(),
        };
        let active = ActiveConnection {
            conn: self,
            is_first_call,
            is_suspect: false,
            is_sent,
        };
        (active, sending)
    }
}

/// A request that is being sent.
#[derive(Debug)]
pub(crate) struct Sending<'a> {
    writer: ConnectionWriter,
    head: Vec<u8>,
    body: &'a [u8],
    is_sent: Rc<Cell<bool>>,
}

impl Sending<'_> {
    /// Sends the request for as long as `receive` runs. A target may respond before it has read the
    /// whole request, so a failed write ends nothing; a broken connection shows up when reading.
    pub(crate) async fn during<T>(self, receive: impl Future<Output = T>) -> T {
        let send = async {
            let sent = self.writer.write_message(&self.head, self.body).await;
            self.is_sent.set(sent.is_ok());
            drop(self.head);
            future::pending().await
        };
        future::or(receive, send).await
    }
}

/// A connection that carries a request. It is closed when it is dropped.
#[derive(Debug)]
pub(crate) struct ActiveConnection {
    conn: TargetConnection,
    is_first_call: bool,
    is_suspect: bool,
    is_sent: Rc<Cell<bool>>,
}

impl ActiveConnection {
    pub(crate) fn addr(&self) -> SocketAddr {
        self.conn.addr
    }

    /// The connection to read the response from.
    pub(crate) fn connection(&mut self) -> &mut Connection {
        &mut self.conn.connection
    }

    /// Whether the next response is the first on this connection, to its first call.
    pub(crate) fn awaits_first_response(&self) -> bool {
        self.is_first_call && !self.is_suspect
    }

    /// Notes that it has delivered a response to another call, after which it carries no further one.
    pub(crate) fn set_suspect(&mut self) {
        self.is_suspect = true;
    }

    /// The connection for a further call, once the response was read in full; `None` if the request was
    /// not sent to its end, since the target takes what follows for the rest of it.
    pub(crate) fn finish(self) -> Option<TargetConnection> {
        (self.is_sent.get() && !self.is_suspect).then_some(self.conn)
    }
}
