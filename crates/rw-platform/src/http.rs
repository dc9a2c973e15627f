//! HTTP client of the platform.

use crate::{Get, PlatformError, Rows, Scan, Table, Txn, TxnResponse, VmList, table::parse_vms};
use rw_http::{Client, Method, Pooling, Request, SendError, Url, post_json};
use rw_types::{Version, Vm};
use serde::Serialize;
use std::time::Duration;

/// Client of the platform at one address, with the same timeout for every call.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: Client,
    addr: String,
    timeout: Duration,
}

impl HttpPlatform {
    /// A client of the platform at `addr` (`ip:port`). `timeout` applies to connecting, to waiting
    /// for the response, and to reading its body.
    #[must_use]
    pub fn new(client: Client, addr: impl Into<String>, timeout: Duration) -> Self {
        Self {
            client,
            addr: addr.into(),
            timeout,
        }
    }

    async fn call<T: Serialize, R>(
        &self,
        path: &str,
        body: &T,
        parse: fn(&[u8]) -> serde_json::Result<R>,
    ) -> Result<R, PlatformError> {
        let body = serde_json::to_vec(body).map_err(|_| PlatformError::Malformed)?;
        let request = post_json(&self.addr, path, body).map_err(to_platform_error)?;
        self.send(request, parse).await
    }

    async fn send<R>(
        &self,
        request: Request,
        parse: fn(&[u8]) -> serde_json::Result<R>,
    ) -> Result<R, PlatformError> {
        let sent = self
            .client
            .send(&self.addr, request, Pooling::Reuse, self.timeout);
        let response = sent.await.map_err(to_platform_error)?;
        let status = response.status();
        let bytes = response
            .bytes(self.timeout)
            .await
            .map_err(to_platform_error)?;
        match status {
            200 => parse(&bytes).map_err(|_| PlatformError::Malformed),
            // The platform sends these statuses before it executes anything.
            429 | 503 => Err(PlatformError::NotApplied),
            _ => Err(PlatformError::Unknown),
        }
    }

    /// Reads an object; `None` if the status is not 200.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    pub async fn object(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let request = self.request(Method::Get, &format!("/objects/{key}"))?;
        let sent = self
            .client
            .send(&self.addr, request, Pooling::Reuse, self.timeout);
        let response = sent.await.map_err(to_platform_error)?;
        let found = response.status() == 200;
        let bytes = response
            .bytes(self.timeout)
            .await
            .map_err(to_platform_error)?;
        Ok(found.then_some(bytes))
    }

    /// Writes an object; idempotent.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    pub async fn put_object(&self, key: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        let mut request = self.request(Method::Put, &format!("/objects/{key}"))?;
        request.set_body(bytes);
        let sent = self
            .client
            .send(&self.addr, request, Pooling::Reuse, self.timeout);
        let response = sent.await.map_err(to_platform_error)?;
        match response.status() {
            200 => Ok(()),
            429 | 503 => Err(PlatformError::NotApplied),
            _ => Err(PlatformError::Unknown),
        }
    }

    fn request(&self, method: Method, path: &str) -> Result<Request, PlatformError> {
        let url = Url::parse(&format!("http://{}{path}", self.addr));
        Ok(Request::new(
            method,
            url.map_err(|_| PlatformError::Malformed)?,
        ))
    }
}

impl Table for HttpPlatform {
    async fn txn(&self, txn: &Txn) -> Result<TxnResponse, PlatformError> {
        let parse = |bytes: &[u8]| serde_json::from_slice(bytes);
        self.call("/table/txn", txn, parse).await
    }

    async fn get(&self, keys: Vec<String>) -> Result<Rows, PlatformError> {
        self.call("/table/get", &Get { keys }, Rows::parse).await
    }

    async fn scan(&self, prefix: &str, since: Version) -> Result<Rows, PlatformError> {
        let scan = Scan {
            prefix: prefix.to_owned(),
            since,
        };
        self.call("/table/scan", &scan, Rows::parse).await
    }
}

impl VmList for HttpPlatform {
    async fn vms(&self) -> Result<Vec<Vm>, PlatformError> {
        let request = self.request(Method::Get, "/vms")?;
        self.send(request, parse_vms).await
    }
}

fn to_platform_error(error: SendError) -> PlatformError {
    if error.is_not_sent() {
        PlatformError::NotApplied
    } else {
        PlatformError::Unknown
    }
}
