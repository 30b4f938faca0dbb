package route

import "strings"

// Prefixes of routes are compared with the path as the caller wrote it, which is passed on
// unchanged. An encoded slash is no slash there: a decoded one could select another route,
// and so another service or one that needs no key. Only encoded letters, digits and the
// marks "-._~" are equivalent to plain ones (RFC 3986, section 6.2.2.2), and hexadecimal
// digits in either case.

const hexDigits = "0123456789ABCDEF"

// NormalizePath returns the form of an encoded path in which paths and prefixes are
// compared.
func NormalizePath(encoded string) string {
	if !strings.Contains(encoded, "%") {
		return encoded
	}
	var b strings.Builder
	for i := 0; i < len(encoded); i++ {
		value, ok := decodeByte(encoded[i:])
		switch {
		case !ok:
			b.WriteByte(encoded[i])
			continue
		case isUnreserved(value):
			b.WriteByte(value)
		default:
			b.WriteByte('%')
			b.WriteByte(hexDigits[value>>4])
			b.WriteByte(hexDigits[value&15])
		}
		i += 2
	}
	return b.String()
}

// decodeByte returns the byte that an encoded text begins with, if it begins with an
// encoded one.
func decodeByte(s string) (value byte, ok bool) {
	if len(s) < 3 || s[0] != '%' {
		return 0, false
	}
	high, low := strings.IndexByte(hexDigits, upper(s[1])), strings.IndexByte(hexDigits, upper(s[2]))
	return byte(high<<4 | low), high >= 0 && low >= 0
}

func upper(c byte) byte {
	if 'a' <= c && c <= 'z' {
		return c - 'a' + 'A'
	}
	return c
}

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
