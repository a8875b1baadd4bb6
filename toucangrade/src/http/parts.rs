//! Parts of JSON bodies, taken apart so that one that can't be decoded leaves the others readable.

/// Entries of an array, or members of an object.
///
/// Only quotes, brackets and commas are looked at, without recursion and whatever the bytes between
/// them are. Entries can therefore be told apart when a decoder accepts none of them.
#[derive(Clone, Debug)]
pub struct Parts<'a> {
    rest: Option<&'a [u8]>,
}

impl<'a> Parts<'a> {
    /// The entries of an array; `None` for anything else.
    pub fn entries(text: &'a [u8]) -> Option<Self> {
        Self::within(text, b'[')
    }

    /// The members of an object; `None` for anything else.
    pub fn members(text: &'a [u8]) -> Option<Self> {
        Self::within(text, b'{')
    }

    fn within(text: &'a [u8], open: u8) -> Option<Self> {
        let inner = text.trim_ascii().strip_prefix(&[open])?.trim_ascii_start();
        let empty = matches!(inner, [b']' | b'}']);
        Some(Self { rest: (!empty).then_some(inner) })
    }
}

impl<'a> Iterator for Parts<'a> {
    type Item = Result<&'a [u8], &'static str>;

    fn next(&mut self) -> Option<Self::Item> {
        let rest = self.rest.take()?;
        let (mut depth, mut quoted, mut escaped) = (0_usize, false, false);
        for (at, &byte) in rest.iter().enumerate() {
            if quoted {
                quoted = escaped || byte != b'"';
                escaped = byte == b'\\' && !escaped;
                continue;
            }
            match byte {
                b'"' => quoted = true,
                b'[' | b'{' => depth += 1,
                b',' if depth == 0 => {
                    self.rest = Some(&rest[at + 1..]);
                    return Some(Ok(rest[..at].trim_ascii()));
                },
                b']' | b'}' if depth > 0 => depth -= 1,
                b']' | b'}' if at + 1 == rest.len() => return Some(Ok(rest[..at].trim_ascii())),
                b']' | b'}' => return Some(Err("more brackets are closed than opened")),
                _ => {},
            }
        }
        Some(Err("brackets or quotes are left open"))
    }
}
