// Package bergamotadmission limits the requests and tokens of workspaces and estimates the length of answers.
package bergamotadmission
