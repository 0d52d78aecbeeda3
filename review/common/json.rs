//! A small JSON value with a parser and a writer, for the bodies of calls to the store.

/// A JSON value. Members keep their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// A number as it was written.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; null if it isn't valid.
    pub fn parse(text: &str) -> Self {
        let mut parser = Parser {
            rest: text.as_bytes(),
        };
        parser.value().unwrap_or(Self::Null)
    }

    /// The member of an object; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        let Self::Object(members) = self else {
            return &Self::Null;
        };
        let member = members.iter().find(|(member, _)| member == name);
        member.map_or(&Self::Null, |(_, value)| value)
    }

    /// The text of a string.
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// A whole number.
    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => number.parse().ok(),
            _ => None,
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(number) => f.write_str(number),
            Self::Text(text) => write_text(f, text),
            Self::List(values) => {
                f.write_str("[")?;
                for (index, value) in values.iter().enumerate() {
                    f.write_str(if index == 0 { "" } else { "," })?;
                    write!(f, "{value}")?;
                }
                f.write_str("]")
            }
            Self::Object(members) => {
                f.write_str("{")?;
                for (index, (name, value)) in members.iter().enumerate() {
                    f.write_str(if index == 0 { "" } else { "," })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' | '\\' => write!(f, "\\{c}")?,
            c if c < ' ' => write!(f, "\\u{:04x}", u32::from(c))?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    rest: &'a [u8],
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while let [b' ' | b'\n' | b'\r' | b'\t', rest @ ..] = self.rest {
            self.rest = rest;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        let (first, rest) = self.rest.split_first()?;
        (*first == byte).then(|| self.rest = rest)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.rest.first()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            _ => self.word(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut members = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(members));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(b':')?;
            members.push((name, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(members));
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut values = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(values));
        }
        loop {
            values.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(values));
            }
        }
    }

    /// Parses a string. Of the escapes, `\u` is taken for one character.
    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let (first, rest) = self.rest.split_first()?;
            self.rest = rest;
            match *first {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let (escaped, rest) = self.rest.split_first()?;
                    self.rest = rest;
                    match *escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let code = std::str::from_utf8(self.rest.get(..4)?).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let c = char::from_u32(code)?;
                            bytes.extend_from_slice(c.to_string().as_bytes());
                            self.rest = &self.rest[4..];
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }

    fn word(&mut self) -> Option<Json> {
        let is_end = |byte: &u8| matches!(byte, b',' | b'}' | b']' | b' ' | b'\n');
        let len = self.rest.iter().position(is_end);
        let (word, rest) = self.rest.split_at(len.unwrap_or(self.rest.len()));
        self.rest = rest;
        match std::str::from_utf8(word).ok()? {
            "null" => Some(Json::Null),
            "true" => Some(Json::Bool(true)),
            "false" => Some(Json::Bool(false)),
            number => number
                .parse::<f64>()
                .ok()
                .map(|_| Json::Number(number.to_owned())),
        }
    }
}
