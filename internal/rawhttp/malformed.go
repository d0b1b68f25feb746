package rawhttp

import (
	"fmt"
	"strings"
)

const (
	// largeField is the size of a field that exceeds the first read buffer of a client, in bytes.
	largeField = 5 << 10
	maxControl = 0x20
	del        = 0x7f
)

// MalformedNames returns the names that have a blank or a control byte at the start, inside or at the end of a field name.
func MalformedNames(name string) []string {
	var names []string
	for b := range del + 1 {
		if b > maxControl && b != del {
			continue
		}
		bad := string([]byte{byte(b)})
		half := len(name) / 2
		names = append(names, bad+name, name[:half]+bad+name[half:], name+bad)
	}
	return names
}

// Sound returns a response with a length. status is the status with its reason, and each line of fields ends with CRLF.
func Sound(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// Malformed returns variants of a sound response that are no responses, by what is wrong with their header.
func Malformed(status, fields, body string) map[string]string {
	line := "HTTP/1.1 " + status + "\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	large := "X-Large: " + strings.Repeat("x", largeField) + "\r\n"
	chunks := fmt.Sprintf("\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	end := "\r\n" + body
	variants := map[string]string{
		"blank in the length":              line + fields + strings.Replace(length, "-", " ", 1) + end,
		"blank after the length":           line + fields + strings.Replace(length, ":", " :", 1) + end,
		"fold before the length":           line + fields + " " + length + end,
		"blank in the transfer coding":     line + fields + "Transfer Encoding: chunked\r\n" + chunks,
		"blank after the transfer coding":  line + fields + "Transfer-Encoding : chunked\r\n" + chunks,
		"line of a blank":                  line + fields + length + " \r\n" + end,
		"line of a tab":                    line + fields + length + "\t\r\n" + end,
		"empty name":                       line + fields + length + ": v\r\n" + end,
		"empty name after a blank":         line + fields + length + " : v\r\n" + end,
		"line without a colon":             line + fields + "X-Line\r\n" + length + end,
		"empty line that ends with LF":     line + fields + length + "\n" + body,
		"after a large field":              line + fields + large + length + "X B: v\r\n" + end,
		"before a large field":             line + fields + "X B: v\r\n" + large + length + end,
		"in an interim response":           "HTTP/1.1 103 Early Hints\r\nX B: v\r\n\r\n" + Sound(status, fields, body),
		"in the second interim response":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A : v\r\n\r\n" + Sound(status, fields, body),
		"after a sound interim response":   "HTTP/1.1 100 Continue\r\n\r\n" + line + fields + length + "X B: v\r\n" + end,
		"blank in a field of the platform": line + "Waxwingpick-Not-Executed : 1\r\n" + fields + length + end,
	}
	for _, name := range []string{" X-A", "X A", "X-A ", "\tX-A", "X\tA", "X-A\t", "\x01X-A", "X\x00A", "X\x7fA", "X-A\x01", "\rX-A", "X-A\r"} {
		bad := name + ": v\r\n"
		variants[fmt.Sprintf("%q in the first line", name)] = line + bad + fields + length + end
		variants[fmt.Sprintf("%q in the middle", name)] = line + fields + bad + length + end
		variants[fmt.Sprintf("%q in the last line", name)] = line + fields + length + bad + end
	}
	return variants
}

// Chunked returns a response in two chunks. Each line of fields and trailers ends with CRLF.
func Chunked(status, fields, body, trailers string) string {
	half := len(body) / 2
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n%s\r\n",
		status, fields, half, body[:half], len(body)-half, body[half:], trailers)
}

// MalformedTrailers returns variants of a sound response in chunks whose trailers are malformed, by their line.
func MalformedTrailers(status, fields, body string) map[string]string {
	variants := make(map[string]string)
	for _, trailers := range []string{
		"X T: v\r\n", "X-T : v\r\n", " X-T: v\r\n", "X\x01T: v\r\n", ": v\r\n", "X-T\r\n", "X-A: v\r\n X-T: v\r\n", "X T: v\r\nX-A: v\r\n",
		"X-A: v\r\nX-T : v\r\nX-B: v\r\n", "X-Large: " + strings.Repeat("x", largeField) + "\r\nX T: v\r\n",
	} {
		variants[fmt.Sprintf("trailers %.40q", trailers)] = Chunked(status, fields, body, trailers)
	}
	return variants
}
