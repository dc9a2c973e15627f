//! Reads the fields of a TOML table and collects all errors.

use crate::{IntentError, IntentErrorKind};
use std::ops::Range;
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// Offsets of a file's lines, to convert an offset to a line number.
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

    /// Line number, from 1, of the start of a span.
    pub(crate) fn of(&self, span: &Range<usize>) -> usize {
        self.starts.partition_point(|start| *start <= span.start)
    }
}

/// Reader of the fields of one item.
#[derive(Debug)]
pub(crate) struct Fields<'a, 'i, 'f> {
    table: &'a DeTable<'i>,
    list: &'static str,
    /// Line number of the item, from 1.
    line: usize,
    lines: &'a Lines,
    errors: &'f mut Vec<IntentError>,
    known: Vec<&'static str>,
}

impl<'a, 'i, 'f> Fields<'a, 'i, 'f> {
    pub(crate) fn new(
        table: &'a DeTable<'i>,
        list: &'static str,
        line: usize,
        lines: &'a Lines,
        errors: &'f mut Vec<IntentError>,
    ) -> Self {
        Self {
            table,
            list,
            line,
            lines,
            errors,
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

    fn invalid(&mut self, at: &Spanned<DeValue<'i>>, field: &'static str, expected: &'static str) {
        let list = self.list;
        self.errors.push(IntentError {
            file_line: self.lines.of(&at.span()),
            kind: IntentErrorKind::InvalidField {
                list,
                field,
                expected,
            },
        });
    }

    /// Reads a field with `read`, or returns `default` if it is missing. Adds an error if the value
    /// is invalid, or if it is missing and has no default.
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
                self.errors.push(IntentError {
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
        let parsed = read(value.get_ref());
        if parsed.is_none() {
            self.invalid(value, field, expected);
        }
        parsed
    }

    /// A required, non-empty string. If it is missing or invalid, adds an error and returns "".
    pub(crate) fn string(&mut self, field: &'static str) -> String {
        let read = |v: &DeValue<'i>| v.as_str().filter(|s| !s.is_empty()).map(str::to_owned);
        self.read(field, "\"a string\"", None, read)
            .unwrap_or_default()
    }

    /// An optional string; empty if missing.
    pub(crate) fn string_or_empty(&mut self, field: &'static str) -> String {
        let read = |v: &DeValue<'i>| v.as_str().map(str::to_owned);
        self.read(field, "\"a string\"", Some(String::new()), read)
            .unwrap_or_default()
    }

    /// An optional list of strings.
    pub(crate) fn strings(&mut self, field: &'static str) -> Option<Vec<String>> {
        let read = |v: &DeValue<'i>| {
            let items = v.as_array()?.iter();
            let strings = items.map(|item| item.get_ref().as_str().map(str::to_owned));
            strings.collect::<Option<Vec<_>>>().map(Some)
        };
        self.read(field, "[\"a list\", \"of strings\"]", Some(None), read)
            .flatten()
    }

    /// A non-negative integer in decimal notation.
    pub(crate) fn integer(&mut self, field: &'static str, default: Option<u64>) -> u64 {
        let read = |v: &DeValue<'i>| {
            let digits = v.as_integer().filter(|i| i.radix() == 10)?.as_str();
            digits.replace('_', "").parse().ok()
        };
        self.read(field, "a non-negative integer", default, read)
            .unwrap_or_default()
    }

    /// A finite number, integer or float.
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

    /// A boolean; false if missing.
    pub(crate) fn flag(&mut self, field: &'static str) -> bool {
        self.read(field, "true or false", Some(false), |v| v.as_bool())
            .unwrap_or_default()
    }

    /// One of the strings in `choices`.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        field: &'static str,
        expected: &'static str,
        choices: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        self.read(field, expected, default, |v| {
            let word = v.as_str()?;
            choices.iter().find(|(w, _)| *w == word).map(|(_, t)| *t)
        })
    }

    /// The tables of a top-level list, each with its line number.
    pub(crate) fn tables(&mut self, field: &'static str) -> Vec<(usize, &'a DeTable<'i>)> {
        let Some(value) = self.get(field) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.invalid(value, field, "a list of tables, [[…]]");
            return Vec::new();
        };
        let mut tables = Vec::new();
        for item in items.iter() {
            match item.get_ref().as_table() {
                Some(table) => tables.push((self.lines.of(&item.span()), table)),
                None => self.invalid(item, field, "a list of tables, [[…]]"),
            }
        }
        tables
    }

    /// Adds an error for every field of the table that has not been read.
    pub(crate) fn finish(self) {
        let known = self.known.join(", ");
        let keys = self.table.keys();
        let unknown = keys.filter(|key| !self.known.contains(&key.get_ref().as_ref()));
        self.errors.extend(unknown.map(|key| IntentError {
            file_line: self.lines.of(&key.span()),
            kind: IntentErrorKind::UnknownField {
                list: self.list,
                field: key.get_ref().to_string(),
                known: known.clone(),
            },
        }));
    }
}
