package stand

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Range of answer lengths in tokens, before max_tokens is applied: from short
// confirmations to drafts of rotas.
const (
	shortestAnswer = 16
	longestAnswer  = 256
)

// Finish reasons of a decode stream.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// CountTokens returns the number of tokens of a prompt as counted by the stand-in
// engine: the number of words separated by white space, and at least one.
func CountTokens(prompt string) int {
	return max(1, len(strings.Fields(prompt)))
}

// PromptHash returns the hash that identifies a prompt in the statistics.
func PromptHash(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
}

// Answer returns the tokens that every stand-in engine generates for a prompt. Each
// token contains the prompt's hash and its own index, so that missing and duplicate
// tokens and tokens of other prompts can be detected.
func Answer(prompt string, maxTokens int) []string {
	tokens, _ := answer(PromptHash(prompt), maxTokens)
	return tokens
}

// FinishReason returns the finish reason in the terminator of the answer.
func FinishReason(prompt string, maxTokens int) string {
	_, reason := answerLength(PromptHash(prompt), maxTokens)
	return reason
}

func answer(hash string, maxTokens int) (tokens []string, reason string) {
	length, reason := answerLength(hash, maxTokens)
	tokens = make([]string, 0, length)
	for i := range length {
		tokens = append(tokens, tokenAt(hash, i))
	}
	return tokens, reason
}

func answerLength(hash string, maxTokens int) (int, string) {
	length := shortestAnswer + int(xxhash.Sum64String(hash)%(longestAnswer-shortestAnswer+1))
	if length > maxTokens {
		return max(0, maxTokens), FinishLength
	}
	return length, FinishStop
}

func tokenAt(hash string, index int) string {
	return fmt.Sprintf("%s.%d ", hash, index)
}
