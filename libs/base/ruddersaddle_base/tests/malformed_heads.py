"""Heads and bodies of requests that can be read in two ways, for all interfaces that read them.

Each row has what follows the first lines of a head, or a request line, and the section of RFC 9110
or RFC 9112 by which it is malformed.
"""

from itertools import product

SMUGGLED = "0\r\n\r\nPOST /c/smuggled HTTP/1.1\r\nHost: api.example\r\nRequest-Id: s\r\n\r\n"
CONTROLS = "\x00\x01\x07\x08\x0b\x0c\x0e\x1b\x1c\x1d\x1e\x1f\x7f"
SPACES_OF_OTHER_SETS = "\x85\xa0"
"""Latin-1 characters that Python counts as white space, and HTTP doesn't."""

CODINGS = [
    (f"Transfer-Encoding: {value}\r\n\r\n{SMUGGLED}", "9112 6.1")
    for value in (
        *(f"{each}chunked" for each in CONTROLS + SPACES_OF_OTHER_SETS),
        *(f"chunked{each}" for each in CONTROLS + SPACES_OF_OTHER_SETS),
        *(f"chun{each}ked" for each in CONTROLS + SPACES_OF_OTHER_SETS),
        "xchunked",
        "chunked, chunked",
        "gzip, chunked",
        "chunked, identity",
        "identity",
        '"chunked"',
        "chunked;q=1",
        ",chunked",
    )
]
LENGTHS = [
    (f"Content-Length: {value}\r\n\r\nhello", "9112 6.2")
    for value in (
        *(f"{each}5" for each in CONTROLS + SPACES_OF_OTHER_SETS),
        *(f"5{each}" for each in CONTROLS + SPACES_OF_OTHER_SETS),
        "+5",
        "-5",
        "0x5",
        "5.0",
        "5,5",
        "5, 6",
        "5 5",
        "\u00b2",
        "five",
        "9" * 19,
    )
]
BOTH = [
    ("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + SMUGGLED, "9112 6.1"),
    ("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" + SMUGGLED, "9112 6.1"),
    ("Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", "9112 6.3"),
    ("Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", "9112 6.3"),
    ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + SMUGGLED, "9112 6.1"),
]
FIELDS = [
    *((f"X{each}: y\r\n\r\n", "9112 5.1") for each in CONTROLS + SPACES_OF_OTHER_SETS + ' ()"/@{'),
    *((f"X: y{each}y\r\n\r\n", "9110 5.5") for each in CONTROLS),
    ("X: y\r\n folded\r\n\r\n", "9112 5.2"),
    ("X: y\r\n\tfolded\r\n\r\n", "9112 5.2"),
    ("X: a\rb\r\n\r\n", "9112 2.2"),
    ("X: y\n\r\n", "9112 2.2"),
    ("X: y\r\n\n", "9112 2.2"),
    ("\n", "9112 2.2"),
    ("no colon\r\n\r\n", "9112 5"),
    (": no name\r\n\r\n", "9112 5.1"),
    ("Host: other.example\r\n\r\n", "9112 3.2"),
]
LINES = [
    *(
        (f"POST{before}/c/x{after}HTTP/1.1", "9112 3")
        for before, after in product((" ", "\x0b", "\x0c", "\x1c", "\x85", "\xa0", "\t"), repeat=2)
        if (before, after) != (" ", " ")
    ),
    ("POST  /c/x HTTP/1.1", "9112 3"),
    ("POST /c/x  HTTP/1.1", "9112 3"),
    (" POST /c/x HTTP/1.1", "9112 3"),
    ("POST /c/x HTTP/1.1 ", "9112 3"),
    ("POST /c/x", "9112 3"),
    ("POST /c/x HTTP/1.1\nX: y", "9112 2.2"),
    ("POST", "9112 3"),
    ("POST /c/x HTTP/1.11", "9112 2.3"),
    ("POST /c/x HTTP/01.1", "9112 2.3"),
    ("POST /c/x http/1.1", "9112 2.3"),
    ("P(ST /c/x HTTP/1.1", "9110 9.1"),
    ("POST c/x HTTP/1.1", "9112 3.2"),
    ("POST * HTTP/1.1", "9112 3.2.4"),
    ("POST api.example:80 HTTP/1.1", "9112 3.2.3"),
    ("POST /c/x\x7f HTTP/1.1", "9112 3.2"),
    ("POST /c/\xe9 HTTP/1.1", "9112 3.2"),
    ("POST /c/x\x00 HTTP/1.1", "9112 3.2"),
]
CHUNKS = [
    (f"Transfer-Encoding: chunked\r\n\r\n{body}", "9112 7.1")
    for body in (
        "0x5\r\nhello\r\n0\r\n\r\n",
        "5\nhello\r\n0\r\n\r\n",
        "5\r\nhello0\r\n\r\n",
        "5\r\nhelloGET / \r\n0\r\n\r\n",
        "-5\r\nhello\r\n0\r\n\r\n",
        "+5\r\nhello\r\n0\r\n\r\n",
        "5_0\r\nhello\r\n0\r\n\r\n",
        "\x0b5\r\nhello\r\n0\r\n\r\n",
        "5\x0b\r\nhello\r\n0\r\n\r\n",
        "123456789\r\nhello\r\n0\r\n\r\n",
        "\r\nhello\r\n0\r\n\r\n",
        ";a=b\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello\r\n0\r\nX: y\n\r\n",
        "5\r\nhello\r\n0\r\n\n",
    )
]
