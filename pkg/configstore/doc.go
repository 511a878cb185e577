// Package configstore keeps the configuration document at the platform.
//
// An edit is accepted by one conditional update of the object. The version of a
// document is given at acceptance and is one higher than that of the document it replaces.
package configstore
