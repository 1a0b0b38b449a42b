// Package bergamotadmission enforces the request and token rates of workspaces and estimates the length of answers.
package bergamotadmission
