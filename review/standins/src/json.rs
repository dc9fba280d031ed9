//! A small JSON reader, for the transactions that entry VMs send to the store.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Value::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(values) => values,
            _ => &[],
        }
    }
}

pub fn parse(text: &[u8]) -> Option<Value> {
    let mut reader = Reader { text, at: 0 };
    let value = reader.value()?;
    reader.skip_space();
    (reader.at == text.len()).then_some(value)
}

/// Writes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for char in text.chars() {
        match char {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            char if (char as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", char as u32)),
            char => quoted.push(char),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: &str) -> Option<()> {
        let rest = self.text.get(self.at..)?;
        rest.starts_with(expected.as_bytes()).then(|| self.at += expected.len())
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match *self.text.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Value::Text),
            b't' => self.take("true").map(|()| Value::Bool(true)),
            b'f' => self.take("false").map(|()| Value::Bool(false)),
            b'n' => self.take("null").map(|()| Value::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        while self.text.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
        text.parse().ok().map(Value::Number)
    }

    fn list(&mut self) -> Option<Value> {
        self.at += 1;
        let mut values = Vec::new();
        loop {
            self.skip_space();
            if self.take("]").is_some() {
                return Some(Value::List(values));
            }
            if !values.is_empty() {
                self.take(",")?;
            }
            values.push(self.value()?);
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.at += 1;
        let mut fields = BTreeMap::new();
        loop {
            self.skip_space();
            if self.take("}").is_some() {
                return Some(Value::Object(fields));
            }
            if !fields.is_empty() {
                self.take(",")?;
                self.skip_space();
            }
            let name = self.string()?;
            self.skip_space();
            self.take(":")?;
            fields.insert(name, self.value()?);
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.text.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let char = char::from_u32(code)?;
                            bytes.extend_from_slice(char.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }
}
