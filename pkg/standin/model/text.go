package model

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PoisonText in a prompt crashes the engine.
const PoisonText = "crash-this-engine"

// ResponseToken returns token i, counted from 0, of the response to a prompt.
func ResponseToken(prompt string, i int) string {
	h := xxhash.Sum64String(prompt + "#" + strconv.Itoa(i))
	return "w" + strconv.FormatUint(h%100_000, 36) + " "
}

// ResponseText returns the first n tokens of the response to a prompt.
func ResponseText(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(ResponseToken(prompt, i))
	}
	return b.String()
}
