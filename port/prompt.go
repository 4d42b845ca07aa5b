package port

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockWords is the block size, in words, that is assumed for the engines'
// prefix caches. The supported engines cache in blocks of 16 to 64 tokens; the
// largest of these keeps the number of hashes low.
const PrefixBlockWords = 64

// PromptMeasure holds the properties of a prompt that can be computed without a
// tokenizer.
type PromptMeasure struct {
	// Tokens is the number of words, as an estimate of the number of tokens.
	Tokens int
	// Prefixes holds the hashes under which engines report cached prefixes: XXH64
	// over the first 64, 128, 192, ... words, each followed by one space, shortest
	// prefix first. Words are separated by white space.
	Prefixes []uint64
	// Fingerprint is the same hash computed over all words.
	Fingerprint uint64
}

// MeasurePrompt computes the PromptMeasure of a prompt in one pass.
func MeasurePrompt(prompt string) PromptMeasure {
	var m PromptMeasure
	digest := xxhash.New()
	for word := range strings.FieldsSeq(prompt) {
		m.Tokens++
		// Digest.WriteString never fails.
		_, _ = digest.WriteString(word)
		_, _ = digest.WriteString(" ")
		if m.Tokens%PrefixBlockWords == 0 {
			m.Prefixes = append(m.Prefixes, digest.Sum64())
		}
	}
	m.Fingerprint = digest.Sum64()
	return m
}
