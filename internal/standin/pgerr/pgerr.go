// Package pgerr holds the PostgreSQL errors that a stand-in database returns to
// clients.
package pgerr

import "errors"

// SQLSTATE values that the stand-in uses. Superseded is its own: a statement of a
// term that a later term has fenced.
const (
	TooManyConnections  = "53300"
	ReadOnly            = "25006"
	FailedTransaction   = "25P02"
	ActiveTransaction   = "25001"
	NoTransaction       = "25P01"
	Superseded          = "LT001"
	NotInRole           = "55000"
	QueryCanceled       = "57014"
	AdminShutdown       = "57P01"
	DeadlockDetected    = "40P01"
	CheckViolation      = "23514"
	DivisionByZero      = "22012"
	InvalidText         = "22P02"
	RaiseException      = "P0001"
	Unsupported         = "0A000"
	Syntax              = "42601"
	UndefinedFunction   = "42883"
	UndefinedSetting    = "42704"
	UndefinedStatement  = "26000"
	UndefinedPortal     = "34000"
	DuplicateStatement  = "42P05"
	ProtocolViolation   = "08P01"
	WrongPassword       = "28P01"
	internalErrorsState = "XX000"
)

// Error is an error with its SQLSTATE.
type Error struct {
	// Code is the SQLSTATE.
	Code string
	// Message says what happened and what the client can do.
	Message string
}

// New returns an error of code.
func New(code, message string) *Error {
	return &Error{
		Code:    code,
		Message: message,
	}
}

// Error returns the message and the SQLSTATE.
func (e *Error) Error() string {
	return e.Message + " (SQLSTATE " + e.Code + ")"
}

// Of returns the Error that err wraps, or an internal error with the text of err.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(internalErrorsState, err.Error())
}
