package placetoken

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Chat is the key of a workspace's chat. 0 stands for a request without a chat.
type Chat uint64

// sessionDigits is the number of hexadecimal digits of a session name.
const sessionDigits = 16

// ChatOf returns the key of the workspace's chat, or 0 if chat is empty.
func ChatOf(workspace, chat string) Chat {
	if chat == "" {
		return 0
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(workspace)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(chat)
	return Chat(max(digest.Sum64(), 1)) // 0 stands for no chat
}

// Session returns the session name under which endpoints cache the chat's prefix.
func (c Chat) Session() string {
	text := strconv.FormatUint(uint64(c), 16)
	const zeros = "0000000000000000"
	return zeros[:sessionDigits-len(text)] + text
}

// ParseSession is the inverse of Chat.Session.
func ParseSession(session string) (Chat, bool) {
	if len(session) != sessionDigits {
		return 0, false
	}
	value, err := strconv.ParseUint(session, 16, 64)
	if err != nil || value == 0 {
		return 0, false
	}
	return Chat(value), true
}
