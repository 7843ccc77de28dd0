package plan

import "fmt"

// refusal is an error with one of PostgreSQL's SQLSTATE codes.
type refusal struct {
	code    string
	message string
	hint    string
}

func refuse(code, message, hint string) error {
	return &refusal{
		code:    code,
		message: message,
		hint:    hint,
	}
}

// Error returns the code, message and hint as one text.
func (r *refusal) Error() string {
	return fmt.Sprintf("%s: %s; %s", r.code, r.message, r.hint)
}

// Code returns the SQLSTATE.
func (r *refusal) Code() string {
	return r.code
}

// Message returns what is wrong.
func (r *refusal) Message() string {
	return r.message
}

// Hint returns what the caller can do about it.
func (r *refusal) Hint() string {
	return r.hint
}
