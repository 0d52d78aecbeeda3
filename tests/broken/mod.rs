//! Corrupted texts, for tests of parsers that must report the file and line of a problem.

/// Text fragments that are significant in YAML.
pub(crate) const YAML_FRAGMENTS: &[&str] = &[
    "\n",
    " ",
    "\t",
    ":",
    "- ",
    "[",
    "{",
    "&a ",
    "*a",
    "!!int ",
    "\"",
    "'",
    "#",
    "|",
    "<<: ",
    "-1",
    "1e400",
    "0x1f",
    "\u{0}",
    "ગીત",
    "---\n",
    "? ",
    "~",
];

/// Replaces `removed_len` bytes of a text from `at` on by the fragments.
pub(crate) fn corrupt(text: &str, at: usize, removed_len: usize, fragments: &[&str]) -> String {
    let end = (at + removed_len).min(text.len());
    format!("{}{}{}", &text[..at], fragments.concat(), &text[end..])
}

/// Whether a reported problem begins with the file and a line number.
pub(crate) fn names_file_and_line(problem: &str, file: &str) -> bool {
    let rest = problem.strip_prefix(&format!("{file}:"));
    let number = rest.and_then(|rest| rest.split(": ").next());
    number.is_some_and(|number| number.parse::<u64>().is_ok())
}
