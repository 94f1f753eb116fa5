package forward

// maxPromptTokens bounds the tokens that a request may claim to have, so that a wrong number does not keep other
// requests from an endpoint for long.
const maxPromptTokens = 1 << 20

// promptTokens returns the tokens of a prompt, and those of the parts that an endpoint which caches the prompt's key
// does not read. The parts tell what the number of prompt tokens in the request leaves out.
func promptTokens(req *Request) (all, shared int) {
	for i, p := range req.Parts {
		all = min(all+min(p.Tokens, maxPromptTokens), maxPromptTokens)
		if i < len(req.Parts)-1 || i == 0 {
			shared = all
		}
	}
	return max(all, min(req.TokensIn, maxPromptTokens)), shared
}
