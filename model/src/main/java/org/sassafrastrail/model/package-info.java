/**
 * Identifiers, client accounts, failure domains, versions, costs and typed reasons: the words that every other module
 * shares. Value classes check themselves when they are made.
 */
package org.sassafrastrail.model;
