//! Rows of the fake table service.

use rw_platform::{Put, Row, Txn, TxnResponse};
use rw_types::Version;

/// Table rows sorted by key, with one version counter for all of them.
#[derive(Debug, Clone, Default)]
pub struct TableState {
    rows: Vec<Row>,
    version: u64,
    /// Number of committed transactions.
    pub writes: u64,
    /// Number of rows read by key, plus one for each scan.
    pub reads: u64,
}

impl TableState {
    /// Commits a transaction if the versions it checks match; otherwise returns the current rows
    /// that conflict.
    pub fn txn(&mut self, txn: &Txn) -> TxnResponse {
        let conflicts: Vec<Row> = txn
            .checks
            .iter()
            .map(|c| (c, self.row(&c.key)))
            .filter(|(c, row)| c.version != row.version)
            .map(|(_, row)| row)
            .collect();
        if !conflicts.is_empty() {
            return TxnResponse {
                version: Version(0),
                conflicts,
            };
        }
        self.version += 1;
        self.writes += 1;
        txn.puts.iter().for_each(|put| self.put(put));
        TxnResponse {
            version: Version(self.version),
            conflicts,
        }
    }

    /// Current state of a row; version zero if it is absent.
    #[must_use]
    pub fn row(&self, key: &str) -> Row {
        match self.index(key) {
            Ok(i) => self.rows[i].clone(),
            Err(_) => Row {
                key: key.to_owned(),
                ..Row::default()
            },
        }
    }

    /// Rows under `prefix` that were written after `since`.
    #[must_use]
    pub fn scan(&self, prefix: &str, since: Version) -> Vec<Row> {
        let start = self.rows.partition_point(|r| r.key.as_str() < prefix);
        self.rows[start..]
            .iter()
            .take_while(|r| r.key.starts_with(prefix))
            .filter(|r| r.version > since)
            .cloned()
            .collect()
    }

    fn put(&mut self, put: &Put) {
        let row = Row {
            key: put.key.clone(),
            value: put.value.clone(),
            version: Version(self.version),
        };
        match self.index(&put.key) {
            Ok(i) if put.value.is_empty() => {
                self.rows.remove(i);
            }
            Ok(i) => self.rows[i] = row,
            Err(_) if put.value.is_empty() => {}
            Err(i) => self.rows.insert(i, row),
        }
    }

    fn index(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|r| r.key.as_str().cmp(key))
    }
}
