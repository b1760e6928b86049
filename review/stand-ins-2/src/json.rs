//! The little JSON that the store's stand-in has to read.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Text(String),
    /// Numbers, true, false and null, as written.
    Word(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Self::Table(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Word(word) => word.parse().ok(),
            _ => None,
        }
    }

    pub fn write(&self) -> String {
        match self {
            Self::Text(text) => format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\"")),
            Self::Word(word) => word.clone(),
            Self::List(items) => {
                let items: Vec<_> = items.iter().map(Self::write).collect();
                format!("[{}]", items.join(","))
            }
            Self::Table(fields) => {
                let fields: Vec<_> = fields
                    .iter()
                    .map(|(key, value)| format!("\"{key}\":{}", value.write()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

pub fn parse(text: &str) -> Option<Value> {
    let mut reader = Reader {
        bytes: text.as_bytes(),
        at: 0,
    };
    reader.value()
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.at += usize::from(found);
        found
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'"' => self.text().map(Value::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while !self.take(b']') {
                    items.push(self.value()?);
                    self.take(b',');
                }
                Some(Value::List(items))
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while !self.take(b'}') {
                    self.peek()?;
                    let key = self.text()?;
                    if !self.take(b':') {
                        return None;
                    }
                    fields.push((key, self.value()?));
                    self.take(b',');
                }
                Some(Value::Table(fields))
            }
            _ => {
                let start = self.at;
                let is_word = |byte: &u8| byte.is_ascii_alphanumeric() || b"+-.".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_word) {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                (!word.is_empty()).then(|| Value::Word(word.to_owned()))
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        if !self.take(b'"') {
            return None;
        }
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    text.push(*self.bytes.get(self.at)?);
                    self.at += 1;
                }
                byte => text.push(byte),
            }
        }
    }
}
