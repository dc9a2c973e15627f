//! Reads the fields of one TOML table and notes every mistake on the way.

use crate::{IntentError, IntentErrorKind};
use std::ops::Range;
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// Starts of a file's lines, to turn an offset into a line.
#[derive(Debug)]
pub(crate) struct Lines {
    starts: Vec<usize>,
}

impl Lines {
    pub(crate) fn new(text: &str) -> Self {
        let ends = text.match_indices('\n').map(|(i, _)| i + 1);
        Self {
            starts: std::iter::once(0).chain(ends).collect(),
        }
    }

    /// The line of an offset, from 1.
    pub(crate) fn of(&self, span: &Range<usize>) -> usize {
        self.starts.partition_point(|start| *start <= span.start)
    }
}

/// The fields of one item.
#[derive(Debug)]
pub(crate) struct Fields<'a, 'i, 'f> {
    table: &'a DeTable<'i>,
    list: &'static str,
    /// Line of the item, from 1.
    line: usize,
    lines: &'a Lines,
    found: &'f mut Vec<IntentError>,
    known: Vec<&'static str>,
}

impl<'a, 'i, 'f> Fields<'a, 'i, 'f> {
    pub(crate) fn new(
        table: &'a DeTable<'i>,
        list: &'static str,
        line: usize,
        lines: &'a Lines,
        found: &'f mut Vec<IntentError>,
    ) -> Self {
        Self {
            table,
            list,
            line,
            lines,
            found,
            known: Vec::new(),
        }
    }

    fn get(&mut self, field: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        if !self.known.contains(&field) {
            self.known.push(field);
        }
        let mut entries = self.table.iter();
        entries
            .find(|(key, _)| key.get_ref() == field)
            .map(|(_, value)| value)
    }

    fn wrong(&mut self, at: &Spanned<DeValue<'i>>, field: &'static str, expected: &'static str) {
        let list = self.list;
        self.found.push(IntentError {
            file_line: self.lines.of(&at.span()),
            kind: IntentErrorKind::InvalidField {
                list,
                field,
                expected,
            },
        });
    }

    /// A value that `read` makes out, or `default`, or a mistake.
    fn read<T>(
        &mut self,
        field: &'static str,
        expected: &'static str,
        default: Option<T>,
        read: impl Fn(&DeValue<'i>) -> Option<T>,
    ) -> Option<T> {
        let Some(value) = self.get(field) else {
            if default.is_none() {
                let list = self.list;
                self.found.push(IntentError {
                    file_line: self.line,
                    kind: IntentErrorKind::MissingField {
                        list,
                        field,
                        expected,
                    },
                });
            }
            return default;
        };
        let made = read(value.get_ref());
        if made.is_none() {
            self.wrong(value, field, expected);
        }
        made
    }

    /// A text; a missing or wrong one is noted and empty.
    pub(crate) fn text(&mut self, field: &'static str) -> String {
        let read = |v: &DeValue<'i>| v.as_str().filter(|s| !s.is_empty()).map(str::to_owned);
        self.read(field, "\"a text\"", None, read)
            .unwrap_or_default()
    }

    /// A text, empty if missing.
    pub(crate) fn text_or_empty(&mut self, field: &'static str) -> String {
        let read = |v: &DeValue<'i>| v.as_str().map(str::to_owned);
        self.read(field, "\"a text\"", Some(String::new()), read)
            .unwrap_or_default()
    }

    /// A list of texts; `None` if missing.
    pub(crate) fn texts(&mut self, field: &'static str) -> Option<Vec<String>> {
        let read = |v: &DeValue<'i>| {
            let items = v.as_array()?.iter();
            let texts = items.map(|item| item.get_ref().as_str().map(str::to_owned));
            texts.collect::<Option<Vec<_>>>().map(Some)
        };
        self.read(field, "[\"a list\", \"of texts\"]", Some(None), read)
            .flatten()
    }

    /// A whole number of at least zero.
    pub(crate) fn whole(&mut self, field: &'static str, default: Option<u64>) -> u64 {
        let read = |v: &DeValue<'i>| {
            let digits = v.as_integer().filter(|i| i.radix() == 10)?.as_str();
            digits.replace('_', "").parse().ok()
        };
        self.read(field, "a whole number", default, read)
            .unwrap_or_default()
    }

    /// A number.
    pub(crate) fn number(&mut self, field: &'static str, default: Option<f64>) -> f64 {
        let read = |v: &DeValue<'i>| {
            let float = v.as_float().map(|f| f.as_str().to_owned());
            let text = float.or_else(|| v.as_integer().map(|i| i.as_str().to_owned()))?;
            let number: f64 = text.replace('_', "").parse().ok()?;
            number.is_finite().then_some(number)
        };
        self.read(field, "a number", default, read)
            .unwrap_or_default()
    }

    /// True or false, false if missing.
    pub(crate) fn flag(&mut self, field: &'static str) -> bool {
        self.read(field, "true or false", Some(false), |v| v.as_bool())
            .unwrap_or_default()
    }

    /// One of a few words.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        field: &'static str,
        expected: &'static str,
        words: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        self.read(field, expected, default, |v| {
            let word = v.as_str()?;
            words.iter().find(|(w, _)| *w == word).map(|(_, t)| *t)
        })
    }

    /// The tables of a list of the file.
    pub(crate) fn tables(&mut self, field: &'static str) -> Vec<(usize, &'a DeTable<'i>)> {
        let Some(value) = self.get(field) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.wrong(value, field, "a list of tables, [[…]]");
            return Vec::new();
        };
        let mut tables = Vec::new();
        for item in items.iter() {
            match item.get_ref().as_table() {
                Some(table) => tables.push((self.lines.of(&item.span()), table)),
                None => self.wrong(item, field, "a list of tables, [[…]]"),
            }
        }
        tables
    }

    /// Notes every field that nobody asked for.
    pub(crate) fn finish(self) {
        let known = self.known.join(", ");
        let keys = self.table.keys();
        let odd = keys.filter(|key| !self.known.contains(&key.get_ref().as_ref()));
        self.found.extend(odd.map(|key| IntentError {
            file_line: self.lines.of(&key.span()),
            kind: IntentErrorKind::UnknownField {
                list: self.list,
                field: key.get_ref().to_string(),
                known: known.clone(),
            },
        }));
    }
}
