//! Parsed objects of the settings file.

use std::collections;
use std::net;

use crate::description;
use crate::error;
use crate::reader;

/// A parsed object: its valid fields and the defaults of omitted fields.
#[derive(Debug, PartialEq)]
pub(crate) struct ParsedGroup {
    /// The position of the start of the object.
    pub(crate) position: error::TextPosition,
    present: collections::BTreeSet<&'static str>,
    fields: collections::BTreeMap<&'static str, reader::ParsedField>,
}

impl ParsedGroup {
    /// Creates a group without fields.
    pub(crate) fn new(position: error::TextPosition) -> Self {
        Self {
            position,
            present: collections::BTreeSet::new(),
            fields: collections::BTreeMap::new(),
        }
    }

    /// Marks a field as present in the file, valid or not; returns false if it already was.
    pub(crate) fn mark_present(&mut self, name: &'static str) -> bool {
        self.present.insert(name)
    }

    /// Returns whether the file contains a field, valid or not.
    pub(crate) fn is_present(&self, field: &description::FieldDescription) -> bool {
        self.present.contains(field.name)
    }

    /// Adds a field with a valid value.
    pub(crate) fn insert(&mut self, name: &'static str, field: reader::ParsedField) {
        self.fields.insert(name, field);
    }

    /// Returns a field if it has a valid value.
    pub(crate) fn field(
        &self,
        field: &description::FieldDescription,
    ) -> Option<&reader::ParsedField> {
        self.fields.get(field.name)
    }

    /// Returns the value of a name, path, word or digest field.
    pub(crate) fn text(&self, field: &description::FieldDescription) -> Option<&str> {
        self.field(field)?.as_text()
    }

    /// Returns the value of a Boolean field.
    pub(crate) fn boolean(&self, field: &description::FieldDescription) -> Option<bool> {
        match self.field(field)?.value {
            reader::ParsedValue::Boolean(value) => Some(value),
            _ => None,
        }
    }

    /// Returns the value of a number field.
    pub(crate) fn number(&self, field: &description::FieldDescription) -> Option<u64> {
        match self.field(field)?.value {
            reader::ParsedValue::Number(number) => Some(number),
            _ => None,
        }
    }

    /// Returns the value of an address field.
    pub(crate) fn address(&self, field: &description::FieldDescription) -> Option<net::SocketAddr> {
        match self.field(field)?.value {
            reader::ParsedValue::Address(address) => Some(address),
            _ => None,
        }
    }

    /// Returns the value of a group field.
    pub(crate) fn group(&self, field: &description::FieldDescription) -> Option<&Self> {
        self.field(field)?.as_group()
    }

    /// Returns the elements of a list field; empty if the field was omitted or is not valid.
    pub(crate) fn list(&self, field: &description::FieldDescription) -> &[reader::ParsedField] {
        match self.field(field).map(|field| &field.value) {
            Some(reader::ParsedValue::List(elements)) => elements,
            _ => &[],
        }
    }
}
