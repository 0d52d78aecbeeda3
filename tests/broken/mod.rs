//! Texts that are broken on purpose, for parsers that must name the place.

/// Pieces that mean something in YAML.
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

/// A text with a part cut out and some noise in its place.
pub(crate) fn corrupt(text: &str, at: usize, cut: usize, noise: &[&str]) -> String {
    let end = (at + cut).min(text.len());
    format!("{}{}{}", &text[..at], noise.concat(), &text[end..])
}

/// Whether a problem's line begins with the file and a line number.
pub(crate) fn names_file_and_line(problem: &str, file: &str) -> bool {
    let rest = problem.strip_prefix(&format!("{file}:"));
    let number = rest.and_then(|rest| rest.split(": ").next());
    number.is_some_and(|number| number.parse::<u64>().is_ok())
}
