package explain

import (
	"cmp"
	"fmt"
	"strconv"
	"time"
)

// phrases tell what an event means, as an engineer would tell a user.
var phrases = map[string]func(Line) string{
	"placed": func(l Line) string {
		return fmt.Sprintf("it had waited %s for a place and got %s tokens of memory at %s, %s of all such memory being free",
			seconds(l.Field("waited")), l.Field("tokens"), l.Field("upstream"), percent(l.Field("pool_free")))
	},
	"attempt failed": func(l Line) string {
		return fmt.Sprintf("the %s upstream %s failed it (%s), %s%s",
			l.Field("role"), l.Field("upstream"), l.Field("reason"), ranWords(l.Field("ran")), because(l.Field("error")))
	},
	"prompt left to the decode engine": func(l Line) string {
		return fmt.Sprintf("none of %s engines for prompts read its prompt, so that the engine that answers was to do it%s", l.Field("tried"), because(l.Field("last")))
	},
	"retried": func(l Line) string {
		return fmt.Sprintf("it was sent again after %s sends, since %s", l.Field("sent"), l.Field("reason"))
	},
	"answered": func(l Line) string {
		return fmt.Sprintf("%s answered it with %s, %s after it came", l.Field("upstream"), l.Field("status"), seconds(l.Field("took")))
	},
	"answer broken off": func(l Line) string {
		return fmt.Sprintf("its answer ended early, %s after it came%s", seconds(l.Field("took")), because(l.Field("error")))
	},
	"refused": func(l Line) string {
		text := fmt.Sprintf("it was refused with %s (%s), %s after it came: %s; %s",
			l.Field("status"), l.Field("reason"), seconds(l.Field("held")), cmp.Or(l.Field("detail"), "no more is said"), ranWords(l.Field("ran")))
		if retry := l.Field("retry_after"); retry != "" && retry != "0" {
			text += ", and its caller was told to come back after " + seconds(retry)
		}
		return text
	},
}

// Words tells the story in sentences, in order. Lines of events that decide nothing are left
// out.
func (s Story) Words() []string {
	var words []string
	for i, line := range s.Lines {
		phrase, known := phrases[line.Event]
		if !known {
			continue
		}
		end := ""
		if i == s.Deciding {
			end = "; this was its end"
		}
		words = append(words, fmt.Sprintf("At %s on %s %s%s.",
			line.Time.Format("15:04:05.000"), cmp.Or(line.Field("instance"), line.Source), phrase(line), end))
	}
	return words
}

// ranWords tells what is known of a request's effects.
func ranWords(ran string) string {
	switch ran {
	case "not_run":
		return "it has not run there"
	case "may_have_run":
		return "it may have run"
	case "ran":
		return "it has run"
	default:
		return "whether it ran is not said"
	}
}

func because(err string) string {
	if err == "" {
		return ""
	}
	return ": " + err
}

// seconds shows a time that is logged in seconds.
func seconds(text string) string {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return "an unknown time"
	}
	return time.Duration(value * float64(time.Second)).Round(time.Millisecond).String()
}

func percent(text string) string {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return "an unknown part"
	}
	return fmt.Sprintf("%.0f %%", 100*value)
}
