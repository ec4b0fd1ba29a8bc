//! The JSON that the stand-ins read: a parser of values, and base64 for the bodies of items.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn parse(text: &str) -> Option<Value> {
        let mut parser = Parser {
            text: text.as_bytes(),
            position: 0,
        };
        let value = parser.value()?;
        parser.skip_space();
        (parser.position == parser.text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Value::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.text.get(self.position).is_some_and(u8::is_ascii_whitespace) {
            self.position += 1;
        }
    }

    fn next_is(&mut self, byte: u8) -> bool {
        self.skip_space();
        let found = self.text.get(self.position) == Some(&byte);
        self.position += usize::from(found);
        found
    }

    fn literal(&mut self, literal: &str, value: Value) -> Option<Value> {
        let found = self.text[self.position..].starts_with(literal.as_bytes());
        self.position += literal.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match self.text.get(self.position)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Value::Text),
            b't' => self.literal("true", Value::Bool(true)),
            b'f' => self.literal("false", Value::Bool(false)),
            b'n' => self.literal("null", Value::Null),
            _ => {
                let rest = &self.text[self.position..];
                let end = rest
                    .iter()
                    .position(|byte| !b"+-.0123456789eE".contains(byte))
                    .unwrap_or(rest.len());
                self.position += end;
                std::str::from_utf8(&rest[..end]).ok()?.parse().ok().map(Value::Number)
            }
        }
    }

    fn object(&mut self) -> Option<Value> {
        let mut fields = BTreeMap::new();
        self.position += 1;
        if self.next_is(b'}') {
            return Some(Value::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            if !self.next_is(b':') {
                return None;
            }
            fields.insert(name, self.value()?);
            if self.next_is(b'}') {
                return Some(Value::Object(fields));
            }
            if !self.next_is(b',') {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        let mut items = Vec::new();
        self.position += 1;
        if self.next_is(b']') {
            return Some(Value::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.next_is(b']') {
                return Some(Value::List(items));
            }
            if !self.next_is(b',') {
                return None;
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.next_is(b'"') {
            return None;
        }
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.position)?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.position)?;
                    self.position += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = std::str::from_utf8(self.text.get(self.position..self.position + 4)?).ok()?;
                            self.position += 4;
                            let letter = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            bytes.extend_from_slice(letter.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

/// JSON that is written with single quotes.
pub fn with_double_quotes(text: &str) -> String {
    text.replace('\'', "\"")
}

/// A string as JSON.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            '\r' => quoted.push_str("\\r"),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0u32, |number, byte| number << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit)) & 63;
            text.push(if digit <= group.len() {
                DIGITS[index as usize] as char
            } else {
                '='
            });
        }
    }
    text
}
